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

/** What an attempt will have begun if the caller gets an event of it. */
export type StreamBeginning = {
	readonly software: SoftwareVersion;
	/** Number of the recording of this stream, from 1; `firstEventRecording` once the caller has the first event. */
	readonly recording: number;
	/** When the caller no longer waits. */
	readonly expiresAt: MonotonicMs;
};

/**
 * Number of the recording that is made with the first event. It is above all made before, also by other instances that had the
 * same call.
 */
export const firstEventRecording = 1_000_000;

/** Remembers the versions that began streams. */
export type StreamOrigins = {
	/**
	 * Records a version that may write the first event of a stream. A later recording replaces an earlier one; several versions
	 * of one recording leave it open which of them writes the event.
	 */
	record(stream: StreamIdentity, beginning: StreamBeginning): void;
	/** Forgets what this instance knows of a stream of which its caller has no event from it. */
	forget(stream: StreamIdentity): void;
	/** Finds the version that began a stream; undefined if it is not certain. */
	find(stream: TakenUpStream): Promise<SoftwareVersion | undefined>;
};
