/** Interface through which calls record which software version began their streams, and ask for that of a stream they take up. */

import type {
	MonotonicMs, OrganisationId, RequestId, SoftwareVersion,
} from '../../identity/ids/index.js';
import type {StreamIdentity} from '../../resumption/stream-key/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';

/** A stream that its caller takes up. */
export type TakenUpStream = {
	/** The call that takes it up. */
	readonly request: RequestId;
	readonly service: ServiceId;
	readonly organisation: OrganisationId | undefined;
	/** Request that brought the first event; undefined if the caller doesn't name it. */
	readonly firstRequest: RequestId | undefined;
};

/** Remembers the versions that began streams. */
export type StreamOrigins = {
	/** Records the version that wrote the first event of a stream. `expiresAt`: when its caller no longer waits. */
	record(stream: StreamIdentity, software: SoftwareVersion, expiresAt: MonotonicMs): void;
	/** Finds the version that began a stream; undefined if it is not certain. */
	find(stream: TakenUpStream): Promise<SoftwareVersion | undefined>;
};
