/** Clients of the platform's object API. */

export * as httpObjectStore from './httpObjectStore.js';
export * as memoryObjectStore from './memoryObjectStore.js';
export * as objectStore from './objectStore.js';
