/**
 * Keeps the requests of all instances to a target within the limit that the target states in its answers, and the requests
 * that a brittle target has to refuse within the number that it states.
 *
 * Whoever sees a statement begin, change or end tells all other instances. For each target, one instance issues permits for
 * single requests, at the stated rate or at one that refusals allow; rendezvous hashing over the live instances tells which.
 * An instance sends to such a target only with a permit, and places its requests elsewhere until it has one. A lost message
 * leaves the target idle for a moment and never sends it too much.
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
import type {LimitGate} from '../limit-gate/index.js';
import {
	limitMessageType, parseLimitMessage, type LimitMessage, type MessageOf,
} from '../limit-messages/index.js';
import {
	describeEnds, describeStatements, identify, LimitNews,
} from '../limit-news/index.js';
import {askTimeoutMs} from '../permit-account/index.js';
import {PermitIssuer, type PermitAsk, type PermitGrant} from '../permit-issuer/index.js';

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

/** Limits of all targets, with the permits of this instance and those that it issues. */
export class TargetLimits implements LimitGate {
	/** Gauges of the metrics. */
	readonly gauges = {
		limited_targets: {help: 'Targets that state a request limit.', read: () => this.listLimited().length},
		brittle_targets: {help: 'Targets that state that they are brittle.', read: () => this.listBrittle().length},
		brittle_refusals: {help: 'Requests of this instance since the start that brittle targets refused for want of room.', read: () => this.reportedRefusals},
		limit_issuer_targets: {help: 'Targets for which this instance issues permits.', read: () => this.issuer.targetCount},
		limit_permits_issued: {help: 'Permits issued since the start.', read: () => this.issuedPermits},
		limit_permits_used: {help: 'Requests sent with a permit since the start.', read: () => this.usedPermits},
		limit_requests_withheld: {help: 'Choices of a target since the start that its limit did not allow.', read: () => this.withheldRequests},
	};

	private readonly issuer = new PermitIssuer();
	private readonly news: LimitNews;
	private readonly wakeup = new Wakeup();
	private nextAskNumber = 1;
	private issuedPermits = 0;
	private usedPermits = 0;
	private withheldRequests = 0;
	private reportedRefusals = 0;

	constructor(private readonly options: TargetLimitsOptions) {
		this.news = new LimitNews(options);
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
		const brittle = this.listBrittle().map(({description: {id}, brittleness}) => ({
			target: id, refusalsPerSecond: brittleness.read(), issuer: this.chooseIssuer(id)?.id,
		}));
		return {
			limits, brittle, reportedRefusals: this.reportedRefusals,
			issuedPermits: this.issuedPermits, usedPermits: this.usedPermits, withheldRequests: this.withheldRequests,
		};
	}

	allows(target: FleetTarget, now: MonotonicMs): boolean {
		return !target.needsPermit || target.permits.hasPermit(now);
	}

	ask(target: FleetTarget, now: MonotonicMs): void {
		this.withheldRequests += 1;
		target.permits.recordWanted();
		this.openAsk(target, now);
	}

	take(target: FleetTarget, now: MonotonicMs): void {
		if (!target.needsPermit || !target.permits.take(now)) {
			return;
		}

		this.usedPermits += 1;
		// Permits for brittle targets are not kept for requests that have not arrived yet.
		if (target.brittleness.read() === undefined) {
			target.permits.recordWanted();
			// Asks at once for the next request, which would otherwise find no permit.
			this.openAsk(target, now);
		}
	}

	reportRefused(target: FleetTarget, now: MonotonicMs): void {
		const issuer = this.chooseIssuer(target.description.id);
		if (issuer !== undefined) {
			this.reportedRefusals += 1;
			this.deliver(issuer.id, {...identify(target), type: 'refused'}, now);
		}
	}

	announce(target: FleetTarget): void {
		this.news.announce(target);
	}

	private openAsk(target: FleetTarget, now: MonotonicMs): void {
		const count = target.permits.open(this.nextAskNumber, now);
		if (count === 0) {
			return;
		}

		const issuer = this.chooseIssuer(target.description.id);
		const message: MessageOf<'ask'> = {
			...identify(target), type: 'ask', ...describeStatements(target, now),
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
		this.news.apply(message, now);
		const target = this.options.fleet.locateIncarnation(message.target, message.startedAt);
		if (target === undefined) {
			return;
		}

		switch (message.type) {
			case 'limit':
			case 'ended':
			case 'brittle':
			case 'brittleEnded': {
				break;
			}

			case 'unused': {
				this.issuer.refund(target, message.count, now);
				this.wakeup.notify();
				break;
			}

			case 'refused': {
				this.handleRefused(target, now);
				break;
			}

			case 'ask': {
				this.handleAsk(target, message, now);
				break;
			}

			case 'grant': {
				this.handleGrant(target, message, now);
				break;
			}

			case 'queued': {
				target.permits.recordWait(message.number, message.waitMs, now);
				break;
			}
		}
	}

	/**
	 * Lets waiting calls use permits. Those for a brittle target that no call uses at once are given back: requests that are
	 * sent long after their permits were issued may all be refused before the issuer learns of the first refusal.
	 */
	private handleGrant(target: FleetTarget, {number, count}: MessageOf<'grant'>, now: MonotonicMs): void {
		const isBrittle = target.brittleness.read() !== undefined;
		if (target.permits.grant(number, count, now)) {
			this.options.fleet.notify();
		}

		const unused = isBrittle ? target.permits.drain(now) : 0;
		const issuer = unused === 0 ? undefined : this.chooseIssuer(target.description.id);
		if (issuer !== undefined) {
			this.deliver(issuer.id, {...identify(target), type: 'unused', count: unused}, now);
		}
	}

	private handleRefused(target: FleetTarget, now: MonotonicMs): void {
		if (target.brittleness.read() !== undefined && this.isIssuer(target)) {
			this.issuer.recordRefused(target, now);
		}
	}

	private handleAsk(target: FleetTarget, message: MessageOf<'ask'>, now: MonotonicMs): void {
		const {asker, number, count} = message;
		for (const end of describeEnds(target, message, now)) {
			this.deliver(asker, end, now);
		}

		if (!target.needsPermit || !this.isIssuer(target)) {
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

	private listLimited(): FleetTarget[] {
		return [...this.options.fleet.list()].filter(({limit}) => limit.read() !== undefined);
	}

	private listBrittle(): FleetTarget[] {
		return [...this.options.fleet.list()].filter(({brittleness}) => brittleness.read() !== undefined);
	}
}
