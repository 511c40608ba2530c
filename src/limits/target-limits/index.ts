/**
 * Keeps the requests of all instances to a target within the limit that the target states in its answers.
 *
 * Whoever sees a limit begin, change or end tells all other instances. For each target, one instance issues permits for
 * single requests at the stated rate; rendezvous hashing over the live instances tells which. An instance sends to a
 * target with a limit only with a permit, and places its requests elsewhere until it has one. A lost message leaves the
 * target idle for a moment and never sends it too much.
 */

import type {Clock} from '../../clock/clock/index.js';
import {Wakeup} from '../../clock/wakeup/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import {rankLiveMembers} from '../../membership/rank-live-members/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {sendRepeatedly} from '../../peers/send-repeatedly/index.js';
import type {LimitGate} from '../limit-gate/index.js';
import {limitMessageType, parseLimitMessage, type LimitMessage} from '../limit-messages/index.js';
import {askTimeoutMs} from '../permit-account/index.js';
import {PermitIssuer, type PermitAsk, type PermitGrant} from '../permit-issuer/index.js';

/** Pauses before an announcement is sent again, in milliseconds, because datagrams may be lost. */
const repeatDelaysMs = [150, 500];
/** Longest sleep of the issuer, in milliseconds; an ask wakes it. */
const idleSleepMs = 60_000;

/** Options of `TargetLimits`. */
export type TargetLimitsOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: TargetFleet;
	readonly channel: DatagramTransport;
	readonly self: InstanceId;
	/** Live instances, including this one. */
	readonly listLive: () => readonly Member[];
};

type MessageOf<Type extends LimitMessage['type']> = Extract<LimitMessage, {type: Type}>;

/** Limits of all targets, with the permits of this instance and those that it issues. */
export class TargetLimits implements LimitGate {
	/** Gauges of the metrics. */
	readonly gauges = {
		limited_targets: {help: 'Targets that state a request limit.', read: () => this.listLimited().length},
		limit_issuer_targets: {help: 'Targets for which this instance issues permits.', read: () => this.issuer.targetCount},
		limit_permits_issued: {help: 'Permits issued since the start.', read: () => this.issuedPermits},
		limit_permits_used: {help: 'Requests sent with a permit since the start.', read: () => this.usedPermits},
		limit_requests_withheld: {help: 'Choices of a target since the start that its limit did not allow.', read: () => this.withheldRequests},
	};

	private readonly issuer = new PermitIssuer();
	private readonly wakeup = new Wakeup();
	/** Targets whose limit is being announced, with whether it has changed meanwhile. */
	private readonly announcements = new Map<FleetTarget, {isChanged: boolean}>();
	private nextAskNumber = 1;
	private issuedPermits = 0;
	private usedPermits = 0;
	private withheldRequests = 0;

	constructor(private readonly options: TargetLimitsOptions) {
		options.channel.register(limitMessageType, body => {
			this.receive(body);
		});
	}

	/** Issues permits until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.options;
		while (!signal.aborted) {
			await this.wakeup.wait(clock, this.issuer.calculateWaitMs(clock.readMonotonic()) ?? idleSleepMs, signal);
			this.issuePermits(clock.readMonotonic());
		}
	}

	dump(): unknown {
		const limits = this.listLimited().map(({description: {id}, limit}) => ({
			target: id, requestsPerSecond: limit.read(), issuer: this.chooseIssuer(id)?.id,
		}));
		return {
			limits, issuedPermits: this.issuedPermits, usedPermits: this.usedPermits, withheldRequests: this.withheldRequests,
		};
	}

	allows({limit, permits}: FleetTarget, now: MonotonicMs): boolean {
		return limit.read() === undefined || permits.hasPermit(now);
	}

	ask(target: FleetTarget, now: MonotonicMs): void {
		this.withheldRequests += 1;
		target.permits.recordWanted();
		this.openAsk(target, now);
	}

	take(target: FleetTarget, now: MonotonicMs): void {
		if (target.limit.read() !== undefined && target.permits.take(now)) {
			this.usedPermits += 1;
			target.permits.recordWanted();
			// Asks at once for the next request, which would otherwise find no permit.
			this.openAsk(target, now);
		}
	}

	announce(target: FleetTarget): void {
		const running = this.announcements.get(target);
		if (running === undefined) {
			void this.announceRepeatedly(target);
		} else {
			running.isChanged = true;
		}
	}

	private async announceRepeatedly(target: FleetTarget): Promise<void> {
		const state = {isChanged: false};
		this.announcements.set(target, state);
		do {
			state.isChanged = false;
			await sendRepeatedly(() => {
				this.sendToAll(this.describeLimit(target));
			}, repeatDelaysMs, this.options.clock);
		} while (state.isChanged);

		this.announcements.delete(target);
	}

	private openAsk(target: FleetTarget, now: MonotonicMs): void {
		const count = target.permits.open(this.nextAskNumber, now);
		if (count === 0) {
			return;
		}

		const issuer = this.chooseIssuer(target.description.id);
		const message: MessageOf<'ask'> = {
			...identify(target), type: 'ask', requestsPerSecond: target.limit.read() ?? 0, ageMs: now - target.limit.readStatedAt(),
			asker: this.options.self, number: this.nextAskNumber, count,
		};
		this.nextAskNumber += 1;
		if (issuer !== undefined) {
			this.deliver(issuer.id, message, now);
		}
	}

	/** Chooses the instance that issues the permits for a target. All instances with the same view choose the same one. */
	private chooseIssuer(target: string): Member | undefined {
		return rankLiveMembers(`limit ${target}`, this.options.listLive())[0];
	}

	private isIssuer(target: FleetTarget): boolean {
		return this.chooseIssuer(target.description.id)?.id === this.options.self;
	}

	private issuePermits(now: MonotonicMs): void {
		for (const grant of this.issuer.issue(target => this.isIssuer(target), now)) {
			this.sendGrant(grant, now);
		}
	}

	private sendGrant({target, ask: {asker, number}, count}: PermitGrant, now: MonotonicMs): void {
		this.issuedPermits += count;
		this.deliver(asker, {
			...identify(target), type: 'grant', number, count,
		}, now);
	}

	/** Passes a message to one instance, which may be this one. */
	private deliver(receiver: InstanceId, message: LimitMessage, now: MonotonicMs): void {
		const {self, channel, listLive} = this.options;
		if (receiver === self) {
			this.handle(message, now);
			return;
		}

		const address = listLive().find(({id}) => id === receiver)?.peerAddress;
		if (address !== undefined) {
			channel.send([address], limitMessageType, message);
		}
	}

	private sendToAll(message: LimitMessage): void {
		const {self, channel, listLive} = this.options;
		channel.send(listLive().filter(({id}) => id !== self).map(({peerAddress}) => peerAddress), limitMessageType, message);
	}

	private receive(body: unknown): void {
		const {clock, logger} = this.options;
		let message: LimitMessage;
		try {
			message = parseLimitMessage(body);
		} catch (error) {
			logger.warn('limit message refused', {reason: (error as Error).message});
			return;
		}

		this.handle(message, clock.readMonotonic());
	}

	private handle(message: LimitMessage, now: MonotonicMs): void {
		this.applyNews(message, now);
		const target = this.options.fleet.locateIncarnation(message.target, message.startedAt);
		if (target === undefined) {
			return;
		}

		switch (message.type) {
			case 'limit':
			case 'ended': {
				break;
			}

			case 'ask': {
				this.handleAsk(target, message, now);
				break;
			}

			case 'grant': {
				if (target.permits.grant(message.number, message.count, now)) {
					this.options.fleet.notify();
				}

				break;
			}

			case 'queued': {
				target.permits.recordWait(message.number, message.waitMs, now);
				break;
			}
		}
	}

	/** Applies what a message says of a limit. Its target may not be listed here now. */
	private applyNews(message: LimitMessage, now: MonotonicMs): void {
		const {fleet, logger} = this.options;
		const {limit} = fleet.statements.get({id: message.target, startedAt: message.startedAt}, now);
		if (message.type === 'limit' || message.type === 'ask') {
			const {requestsPerSecond, ageMs} = message;
			if (limit.recordStated(requestsPerSecond, now - ageMs as MonotonicMs)) {
				logger.info('target limit changed', {target: message.target, requestsPerSecond, source: 'instance'});
			}
		} else if (message.type === 'ended' && limit.recordAbsent(now - message.ageMs as MonotonicMs)) {
			logger.info('target limit ended', {target: message.target, source: 'instance'});
			fleet.notify();
		}
	}

	private handleAsk(target: FleetTarget, {asker, number, count}: MessageOf<'ask'>, now: MonotonicMs): void {
		if (target.limit.read() === undefined) {
			this.deliver(asker, this.describeLimit(target), now);
			return;
		}

		if (!this.isIssuer(target)) {
			return;
		}

		const ask: PermitAsk = {
			asker, number, count, expiresAt: now + askTimeoutMs as MonotonicMs,
		};
		const waitMs = this.issuer.addAsk(target, ask, now);
		if (waitMs > 0) {
			this.deliver(asker, {
				...identify(target), type: 'queued', number, waitMs,
			}, now);
		}

		this.wakeup.notify();
	}

	/** Describes what is known of a limit, for other instances. */
	private describeLimit(target: FleetTarget): LimitMessage {
		const now = this.options.clock.readMonotonic();
		const requestsPerSecond = target.limit.read();
		return requestsPerSecond === undefined
			? {...identify(target), type: 'ended', ageMs: Math.max(0, now - target.limit.readEndedAt())}
			: {
				...identify(target), type: 'limit', requestsPerSecond, ageMs: Math.max(0, now - target.limit.readStatedAt()),
			};
	}

	private listLimited(): FleetTarget[] {
		return [...this.options.fleet.list()].filter(({limit}) => limit.read() !== undefined);
	}
}

function identify({description: {id, startedAt}}: FleetTarget): Pick<LimitMessage, 'target' | 'startedAt'> {
	return {target: id, startedAt};
}
