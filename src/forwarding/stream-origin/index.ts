/**
 * The software version that the stream of one call is bound to.
 *
 * What two versions write doesn't fit together, and targets don't check it. From the first event that a caller has, its
 * stream goes on only at targets of the version that wrote this event, in this answer or in one that continues it.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {SessionOptions} from '../session-types/index.js';
import type {StreamIdentity} from '../../resumption/stream-key/index.js';
import {firstEventRecording, type StreamOrigins} from '../stream-origins/index.js';

/** The call as far as its stream is concerned. */
type StreamCall = Pick<SessionOptions, 'call' | 'route' | 'service' | 'organisation' | 'arrivedAt'>;

/** Binds the stream of a call to a version. */
export class StreamOrigin {
	private software: SoftwareVersion | undefined;
	/** Whether the caller has an event of this answer. */
	private hasEvent = false;
	/** Number of recordings before the first event. */
	private recordings = 0;

	constructor(private readonly session: StreamCall, private readonly origins: StreamOrigins) {}

	/** Whether the caller has the beginning of the stream already. */
	get isTakenUp(): boolean {
		const {call, route} = this.session;
		return route.kind === 'streaming' && call.lastEventId !== undefined;
	}

	/** Whether the stream has events, so that it goes on only at one version. */
	get isBound(): boolean {
		return this.software !== undefined;
	}

	/** The version that wrote the first event; undefined before it. */
	read(): SoftwareVersion | undefined {
		return this.software;
	}

	/**
	 * Binds a stream that the caller takes up to the version that began it. Resolves to whether that is certain; other streams
	 * need none. Without the request that began it, a route with several services doesn't even tell the service.
	 */
	async bindTakenUp(): Promise<boolean> {
		if (!this.isTakenUp) {
			return true;
		}

		const {call, route, service, organisation} = this.session;
		if (call.resumes === undefined && route.shares.length > 1) {
			return false;
		}

		this.software = await this.origins.find({
			request: call.id, service, organisation: organisation?.id, firstRequest: call.resumes,
		});
		return this.software !== undefined;
	}

	/**
	 * Records that the call is in flight at `targets`, any of which may write the first event. Until that comes, the record can
	 * reach the instances and the object API that keep it. While it names several versions, a stream is not taken up.
	 */
	recordSent(targets: readonly FleetTarget[]): void {
		if (!this.hasEvent) {
			this.recordings += 1;
			this.record(new Set(targets.map(({description}) => description.softwareVersion)), this.recordings);
		}
	}

	/** Binds the stream: the caller gets an event of `target`. */
	recordEvent({description: {softwareVersion}}: FleetTarget): void {
		if (!this.hasEvent) {
			this.record(new Set([softwareVersion]), firstEventRecording);
		}

		this.hasEvent = true;
		this.software ??= softwareVersion;
	}

	/**
	 * Forgets the records of a call that was to begin a stream and ends without an event. Another instance may have passed on the
	 * stream's events. A stream that its caller takes up has events already.
	 */
	end(): void {
		const identity = this.identify();
		if (identity !== undefined && !this.isTakenUp && this.recordings > 0 && !this.hasEvent) {
			this.origins.forget(identity);
		}
	}

	/** Whether the call may be sent to `target`. */
	allows({description}: FleetTarget): boolean {
		return this.software === undefined || description.softwareVersion === this.software;
	}

	/** Records the versions that may write the first event, in place of those with a lower number. */
	private record(versions: ReadonlySet<SoftwareVersion>, recording: number): void {
		const identity = this.identify();
		if (identity === undefined) {
			return;
		}

		const {call, route, arrivedAt} = this.session;
		const expiresAt = arrivedAt + (call.waitMs ?? route.timeoutMs) as MonotonicMs;
		for (const software of versions) {
			this.origins.record(identity, {software, recording, expiresAt});
		}
	}

	/** Returns what the stream is recorded by; undefined if it can't be taken up. */
	private identify(): StreamIdentity | undefined {
		const {call, route, service, organisation} = this.session;
		const firstRequest = this.isTakenUp ? call.resumes : call.id;
		return firstRequest !== undefined && route.kind === 'streaming' && route.isResumable
			? {service, organisation: organisation?.id, firstRequest}
			: undefined;
	}
}
