/**
 * Branded types of ids and units. A brand prevents an id of one kind from being passed where another kind is
 * expected. Cast with `as` only where ids enter the program (settings, schemas, received messages).
 */

declare const brand: unique symbol;

/** Type `Base` with the brand `Name`. */
export type Branded<Base, Name extends string> = Base & {readonly [brand]: Name};

/** Name of a router instance, unique across both fleets. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** Name of a data centre. */
export type DataCentreId = Branded<string, 'DataCentreId'>;
/** Name of one of the operators' fleets. */
export type FleetId = Branded<string, 'FleetId'>;
/** Resolved organisation, unique across both fleets. */
export type OrganisationId = Branded<string, 'OrganisationId'>;
/** Resolved target, unique across both fleets. */
export type TargetId = Branded<string, 'TargetId'>;
/** Resolved model, unique across both fleets. */
export type ModelId = Branded<string, 'ModelId'>;
/** Resolved route, unique across both fleets. */
export type RouteId = Branded<string, 'RouteId'>;
/** SHA-256 hash of a caller's API key, in lower-case hex. */
export type KeyHash = Branded<string, 'KeyHash'>;
/** Version of the software that a target runs. What a target without a stated version runs has a version of its own. */
export type SoftwareVersion = Branded<string, 'SoftwareVersion'>;
/** Id of one request from a caller; also identifies the request at a target. */
export type RequestId = Branded<string, 'RequestId'>;
/** Chained hash of a prompt prefix; 16 hex digits. */
export type BlockKey = Branded<string, 'BlockKey'>;
/** Number of an accepted configuration; increases monotonically. */
export type Revision = Branded<number, 'Revision'>;
/** Fencing token of a lease; increases each time the lease is acquired. */
export type FencingNumber = Branded<number, 'FencingNumber'>;
/** Id of one run of a process; changes with each restart. */
export type Incarnation = Branded<string, 'Incarnation'>;
/** Version of an object in the object API; opaque. */
export type ResourceVersion = Branded<string, 'ResourceVersion'>;
/** Milliseconds on this process's monotonic clock. */
export type MonotonicMs = Branded<number, 'MonotonicMs'>;
/** Milliseconds since the Unix epoch. */
export type WallMs = Branded<number, 'WallMs'>;
