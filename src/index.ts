/** Public index: the parts of the router that other programs may build on. */

export type * from './budget/budget-gate/index.js';
export * from './budget/fleet-budget/index.js';
export * from './clock/clock/index.js';
export * from './configuration/configuration/index.js';
export * from './configuration/resolve-configuration/index.js';
export * from './daemon/settings/index.js';
export * from './daemon/start-daemon/index.js';
export type * from './identity/ids/index.js';
export * from './leases/lease/index.js';
export * from './fairness/engine-gate/index.js';
export * from './fairness/fair-queue/index.js';
export * from './placement/create-placement/index.js';
export * from './placement/hash-prompt/index.js';
export type * from './placement/placement/index.js';
export * from './platform/http-object-api/index.js';
export * from './platform/memory-object-api/index.js';
export * from './platform/object-api/index.js';
export * from './resources/parse-resource/index.js';
export * from './resources/schemas/index.js';
export * from './results/create-router-error/index.js';
export * from './results/result-codes/index.js';
export type * from './targets/engine-client/index.js';
