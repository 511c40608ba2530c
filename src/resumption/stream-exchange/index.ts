/**
 * Passes records of streams to the instances that hold them, and asks these. Records are gathered for a moment and sent as
 * datagrams, twice because some are lost.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId, MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import {sendRepeatedly} from '../../peers/send-repeatedly/index.js';
import {chooseRecordHolders, listRecordHolders} from '../choose-record-holders/index.js';
import type {StreamKey} from '../stream-key/index.js';
import {
	formatStreamRecords, maximumRecordsPerMessage, parseStreamFinding, parseStreamLookup, parseStreamRecords,
} from '../stream-messages/index.js';
import {StreamRegister, type StreamRecord} from '../stream-register/index.js';

/** Message type of the datagrams. */
export const streamMessageType = 'stream-records';
/** JSON-RPC method that tells which version began a stream. */
export const findStreamMethod = 'streams.find';
/** Time for which records are gathered before they are sent, in milliseconds. */
const gatheringMs = 10;
const repeatDelaysMs = [120];
const lookupTimeoutMs = 250;
/** Time for which a holder that did not answer is not asked again, in milliseconds. Each failed call costs new connections. */
const silencePauseMs = 1000;

/** Options of `StreamExchange`. */
export type StreamExchangeOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly channel: DatagramTransport;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	/** Live instances, including this one. */
	readonly listLive: () => readonly Member[];
};

/** Holds records for other instances, and passes on those of this one. */
export class StreamExchange {
	/** Records that this instance holds for the fleet. */
	readonly held = new StreamRegister();
	private pending: StreamRecord[] = [];
	private readonly silentUntil = new Map<InstanceId, number>();

	constructor(private readonly options: StreamExchangeOptions) {
		options.channel.register(streamMessageType, body => {
			this.receive(body);
		});
		options.registry.register(findStreamMethod, async parameters => {
			const finding = this.held.find(parseStreamLookup(parameters), options.clock.readMonotonic());
			return {software: finding === 'conflicting' ? null : finding ?? null};
		});
	}

	/** Passes records on to their holders, after a moment in which further ones join them. */
	announce(records: readonly StreamRecord[]): void {
		const isScheduled = this.pending.length > 0;
		this.pending.push(...records);
		if (!isScheduled && this.pending.length > 0) {
			void this.sendPending();
		}
	}

	/** Asks the other holders of a stream's record; resolves to undefined if none of them knows it. */
	async ask(key: StreamKey): Promise<SoftwareVersion | undefined> {
		const {self, listLive} = this.options;
		const others = chooseRecordHolders(key, listRecordHolders(listLive())).filter(({id}) => id !== self);
		const findings = await Promise.all(others.map(async ({id}) => this.askHolder(id, key)));
		const known = new Set(findings.filter(finding => finding !== undefined));
		return known.size === 1 ? [...known][0] : undefined;
	}

	private async askHolder(holder: InstanceId, key: StreamKey): Promise<SoftwareVersion | undefined> {
		const {clock} = this.options;
		if (clock.readMonotonic() < (this.silentUntil.get(holder) ?? 0)) {
			return undefined;
		}

		try {
			return parseStreamFinding(await this.options.caller.call(holder, findStreamMethod, {key}, lookupTimeoutMs));
		} catch (error) {
			this.silentUntil.set(holder, clock.readMonotonic() + silencePauseMs);
			this.options.logger.warn('stream record not asked for', {holder, reason: (error as Error).message});
			return undefined;
		}
	}

	private async sendPending(): Promise<void> {
		await this.options.clock.sleep(gatheringMs);
		const records = this.pending;
		this.pending = [];
		const holders = listRecordHolders(this.options.listLive());
		for (const holder of holders) {
			const shard = records.filter(({key}) => chooseRecordHolders(key, holders).includes(holder));
			for (let offset = 0; offset < shard.length; offset += maximumRecordsPerMessage) {
				this.deliver(holder, shard.slice(offset, offset + maximumRecordsPerMessage));
			}
		}
	}

	private deliver(holder: Member, records: readonly StreamRecord[]): void {
		const {self, clock, channel} = this.options;
		if (holder.id === self) {
			this.hold(records, clock.readMonotonic());
			return;
		}

		void sendRepeatedly(() => {
			channel.send([holder.peerAddress], streamMessageType, formatStreamRecords(records, clock.readMonotonic()));
		}, repeatDelaysMs, clock);
	}

	private receive(body: unknown): void {
		const {clock, logger} = this.options;
		const now = clock.readMonotonic();
		try {
			this.hold(parseStreamRecords(body, now), now);
		} catch (error) {
			logger.warn('stream records refused', {reason: (error as Error).message});
		}
	}

	private hold(records: readonly StreamRecord[], now: MonotonicMs): void {
		for (const record of records) {
			this.held.add(record, now);
		}
	}
}
