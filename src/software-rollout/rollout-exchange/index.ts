/**
 * Exchanges evidence on rollouts between the instances, and spreads stops and statuses.
 *
 * In a small fleet each instance collects the evidence of all; in a larger one, the contenders for the lease do.
 */

import type {Clock} from '../../clock/clock/index.js';
import {hasAggregators} from '../../fleet/rank-aggregators/index.js';
import type {Incarnation, InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {sendRepeatedly} from '../../peers/send-repeatedly/index.js';
import {chooseContenders} from '../../rollout/choose-contenders/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {EvidenceReport} from '../evidence-ledger/index.js';
import type {KnownRollout} from '../order-register/index.js';
import type {EvidenceStore} from '../rollout-evidence/index.js';
import {
	evidenceMessageType, formatCells, parseCells, statusMessageType, stopMessageType,
	type EvidenceMessage, type StatusMessage, type StopMessage,
} from '../rollout-messages/index.js';

/** Number of instances that contend for the lease; with three, one still can if two are cut off from the store. */
export const contenderCount = 3;
/** Pauses after which a stop and a status are sent again, in milliseconds. */
const stopRepeatsMs = [60, 200] as const;
const statusRepeatsMs = [60] as const;
/** Interval at which an instance sends all that it has counted, in milliseconds. */
const fullReportIntervalMs = 2000;
/** Interval at which the lease holder repeats the status, in milliseconds; shorter than the silence after which instances send nothing to the new version. */
const reminderIntervalMs = 700;

/** Options of the exchange. */
export type RolloutExchangeOptions = {
	readonly self: InstanceId;
	readonly incarnation: Incarnation;
	readonly clock: Clock;
	readonly channel: DatagramTransport;
	readonly evidence: EvidenceStore;
	/** Live instances, including this one. */
	readonly listLive: () => readonly Member[];
	/** Finds the rollout that a message is about; undefined if this instance doesn't know the order. */
	readonly findRollout: (message: Pick<EvidenceMessage, 'service' | 'order'>) => KnownRollout | undefined;
	readonly onAge: (rollout: KnownRollout, ageMs: number) => void;
	readonly onStop: (rollout: KnownRollout, message: StopMessage) => void;
	readonly onStatus: (rollout: KnownRollout, message: StatusMessage) => void;
};

/** Sends and receives messages about rollouts. */
export class RolloutExchange {
	private readonly remindedAt = new Map<ServiceId, MonotonicMs>();
	private readonly fullReportAt = new Map<string, MonotonicMs>();

	constructor(private readonly options: RolloutExchangeOptions) {
		const {channel} = options;
		channel.register(evidenceMessageType, body => {
			this.receiveEvidence(body as EvidenceMessage);
		});
		channel.register(stopMessageType, body => {
			const message = body as StopMessage;
			this.dispatch(message, options.onStop);
		});
		channel.register(statusMessageType, body => {
			const message = body as StatusMessage;
			this.dispatch({...message, order: message.status.order}, options.onStatus);
		});
	}

	/** Whether this instance collects the evidence of all. */
	get isCollector(): boolean {
		const live = this.options.listLive();
		return !hasAggregators(live.length - 1) || chooseContenders(live, contenderCount).some(({id}) => id === this.options.self);
	}

	/** Sends what this instance has counted since the last time, and `callsLeft`. `isUrgent`: also if nothing is new. */
	report(rollout: KnownRollout, callsLeft: number, isUrgent: boolean): void {
		const {self, incarnation, clock, channel, evidence} = this.options;
		const {own, fleet} = evidence.get(rollout);
		const now = clock.readMonotonic();
		const changed = own.takeChanged(now);
		const report: EvidenceReport = {
			from: self, incarnation, write: rollout.status?.write ?? 0, callsLeft, cells: changed,
		};
		fleet.record(report, now);
		const isFull = this.isFullReportDue(rollout, now);
		if (isFull || isUrgent || changed.size > 0) {
			const message: EvidenceMessage = {
				...report, service: rollout.order.service, order: rollout.number, ageMs: now - rollout.startedAt,
				cells: formatCells(isFull ? own.readCells(now) : changed),
			};
			channel.send(this.listCollectors(), evidenceMessageType, message);
		}

		// An instance that has started meanwhile doesn't know of the stop until the status says so.
		if (isFull && rollout.stopReason !== undefined && this.isCollector) {
			this.announceStop(rollout, rollout.stopReason);
		}
	}

	/** Tells all instances that a version is bad. */
	announceStop(rollout: KnownRollout, reason: string): void {
		const {self, clock, channel} = this.options;
		const message: StopMessage = {
			from: self, service: rollout.order.service, order: rollout.number, reason,
		};
		void sendRepeatedly(() => {
			channel.send(this.listPeerAddresses(), stopMessageType, message);
		}, stopRepeatsMs, clock);
	}

	/** Tells all instances of a status that is stored. */
	announceStatus(message: StatusMessage): void {
		const {clock, channel} = this.options;
		void sendRepeatedly(() => {
			channel.send(this.listPeerAddresses(), statusMessageType, message);
		}, statusRepeatsMs, clock);
	}

	/** Tells all instances of the present status again if that is due, so that they know that they hear the lease holder. */
	remindOfStatus({order: {service}, status}: KnownRollout, now: MonotonicMs): void {
		if (status !== undefined && now - (this.remindedAt.get(service) ?? Number.NEGATIVE_INFINITY) >= reminderIntervalMs) {
			this.remindedAt.set(service, now);
			this.options.channel.send(this.listPeerAddresses(), statusMessageType, {service, status} satisfies StatusMessage);
		}
	}

	private isFullReportDue({order: {service}, number}: KnownRollout, now: MonotonicMs): boolean {
		const key = `${service} ${number}`;
		const isDue = now - (this.fullReportAt.get(key) ?? Number.NEGATIVE_INFINITY) >= fullReportIntervalMs;
		if (isDue) {
			this.fullReportAt.set(key, now);
		}

		return isDue;
	}

	private receiveEvidence(message: EvidenceMessage): void {
		this.dispatch(message, rollout => {
			this.options.onAge(rollout, message.ageMs);
			this.options.evidence.get(rollout).fleet.record({...message, cells: parseCells(message.cells)}, this.options.clock.readMonotonic());
		});
	}

	private dispatch<Message extends Pick<EvidenceMessage, 'service' | 'order'>>(message: Message, handle: (rollout: KnownRollout, message: Message) => void): void {
		const rollout = this.options.findRollout(message);
		if (rollout !== undefined) {
			handle(rollout, message);
		}
	}

	private listCollectors(): string[] {
		const live = this.options.listLive();
		const collectors = hasAggregators(live.length - 1) ? chooseContenders(live, contenderCount) : live;
		return this.listAddresses(collectors);
	}

	private listPeerAddresses(): string[] {
		return this.listAddresses(this.options.listLive());
	}

	private listAddresses(members: readonly Member[]): string[] {
		return members.filter(({id}) => id !== this.options.self).map(({peerAddress}) => peerAddress);
	}
}
