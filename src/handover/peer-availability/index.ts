/**
 * Tells which other instances can take calls over: those that are live and not cut off from targets themselves. Instances
 * tell each other when they are cut off and when they no longer are.
 */

import {z} from 'zod';
import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {sendRepeatedly} from '../../peers/send-repeatedly/index.js';

/** Message type of the datagrams. */
export const reachabilityMessageType = 'reachability';
const repeatDelaysMs = [100, 400];
/** Interval at which an instance that is cut off says so again, in milliseconds. */
const renewalMs = 1500;
/** Time after which what an instance said of itself no longer counts, in milliseconds. */
const validityMs = 4000;
/** Time for which an instance that refused a call because it is cut off gets no further ones, in milliseconds. */
const refusalMs = 1000;
/** Time for which an instance that answered nothing gets no further calls, in milliseconds. */
const silenceMs = 1000;

const messageSchema = z.object({instance: z.string().min(1).max(100), isCutOff: z.boolean()});

/** Options of `PeerAvailability`. */
export type PeerAvailabilityOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	/** Whether this instance is cut off from all targets. */
	readonly isCutOff: () => boolean;
};

/** What other instances say of their paths to targets. */
export class PeerAvailability {
	private readonly cutOffUntil = new Map<InstanceId, number>();

	constructor(private readonly options: PeerAvailabilityOptions) {
		options.channel.register(reachabilityMessageType, body => {
			this.receive(body);
		});
	}

	/** Number of instances that are cut off, as far as is known. */
	get cutOffCount(): number {
		return [...this.cutOffUntil.keys()].filter(id => this.isCutOff(id)).length;
	}

	/** Whether another instance is cut off, as far as is known. */
	isCutOff(id: InstanceId): boolean {
		return this.options.clock.readMonotonic() < (this.cutOffUntil.get(id) ?? 0);
	}

	/** Lists the instances that can take calls over. */
	list(): Member[] {
		return this.options.listPeers().filter(({id, state, revision}) => state === 'live' && revision >= 0 && !this.isCutOff(id));
	}

	/** Records that an instance refused a call because it is cut off. */
	recordCutOff(id: InstanceId): void {
		this.extend(id, refusalMs);
	}

	/** Records that an instance answers nothing, as one that stands still. */
	recordSilent(id: InstanceId): void {
		this.extend(id, silenceMs);
	}

	/** Whether an instance counts as a member of the fleet, also while it leaves. */
	isMember(id: InstanceId): boolean {
		return this.options.listPeers().some(peer => peer.id === id);
	}

	/** Tells the others about this instance. */
	announce(): void {
		void sendRepeatedly(() => {
			this.send();
		}, repeatDelaysMs, this.options.clock);
	}

	/** Repeats that this instance is cut off, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, isCutOff} = this.options;
		while (!signal.aborted) {
			await clock.sleep(renewalMs, signal);
			if (isCutOff() && !signal.aborted) {
				this.send();
			}
		}
	}

	private send(): void {
		const {self, channel, listPeers, isCutOff} = this.options;
		channel.send(listPeers().map(({peerAddress}) => peerAddress), reachabilityMessageType, {instance: self, isCutOff: isCutOff()});
	}

	private receive(body: unknown): void {
		const {success, data} = messageSchema.safeParse(body);
		if (!success) {
			this.options.logger.warn('reachability message refused', {reason: 'fields are missing or not valid'});
		} else if (data.isCutOff) {
			this.extend(data.instance as InstanceId, validityMs);
		} else {
			this.cutOffUntil.delete(data.instance as InstanceId);
		}
	}

	private extend(id: InstanceId, ms: number): void {
		const until = this.options.clock.readMonotonic() + ms;
		this.cutOffUntil.set(id, Math.max(until, this.cutOffUntil.get(id) ?? 0));
	}
}
