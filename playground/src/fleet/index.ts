/** Creates tickets for a deployment and reads from its nodes' logs when each was applied. */

export * as applications from './applications.js';
export * as changes from './changes.js';
