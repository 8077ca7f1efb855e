/** Tickets for a deployment, and what its nodes' log records tell about their application. */

export * as applications from './applications.js';
export * as changes from './changes.js';
