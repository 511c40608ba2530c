/** Tells other instances what targets state about their limits and their brittleness, and applies what others tell. */

import type {Clock} from '../../clock/clock/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {sendRepeatedly} from '../../peers/send-repeatedly/index.js';
import type {StatedNumber} from '../../statements/stated-number/index.js';
import {limitMessageType, type LimitMessage, type MessageOf} from '../limit-messages/index.js';

/** Pauses before an announcement is sent again, in milliseconds, because datagrams may be lost. */
const repeatDelaysMs = [150, 500];

/** Options of `LimitNews`. */
export type LimitNewsOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: TargetFleet;
	readonly channel: DatagramTransport;
	readonly self: InstanceId;
	/** Live instances, including this one. */
	readonly listLive: () => readonly Member[];
};

/** Announces and applies news. */
export class LimitNews {
	/** Targets that are being announced, with whether their statements have changed meanwhile. */
	private readonly announcements = new Map<FleetTarget, {isChanged: boolean}>();

	constructor(private readonly options: LimitNewsOptions) {}

	/** Tells all other instances what is known of a target, several times. */
	announce(target: FleetTarget): void {
		const running = this.announcements.get(target);
		if (running === undefined) {
			void this.announceRepeatedly(target);
		} else {
			running.isChanged = true;
		}
	}

	/** Applies what a message says of a limit or of brittleness. Its target may not be listed here now. */
	apply(message: LimitMessage, now: MonotonicMs): void {
		const {limit, brittleness} = this.options.fleet.statements.get({id: message.target, startedAt: message.startedAt}, now);
		switch (message.type) {
			case 'limit': {
				this.applyLimit(limit, message, now);
				break;
			}

			case 'brittle': {
				this.applyBrittleness(brittleness, message, message, now);
				break;
			}

			case 'ask': {
				this.applyLimit(limit, message, now);
				this.applyBrittleness(brittleness, message, message.brittle, now);
				break;
			}

			case 'ended': {
				this.applyEnd('target limit ended', limit, message, now);
				break;
			}

			case 'brittleEnded': {
				this.applyEnd('target brittleness ended', brittleness, message, now);
				break;
			}

			case 'refused':
			case 'unused':
			case 'grant':
			case 'queued': {
				break;
			}
		}
	}

	private async announceRepeatedly(target: FleetTarget): Promise<void> {
		const state = {isChanged: false};
		this.announcements.set(target, state);
		do {
			state.isChanged = false;
			await sendRepeatedly(() => {
				this.send(target);
			}, repeatDelaysMs, this.options.clock);
		} while (state.isChanged);

		this.announcements.delete(target);
	}

	private send(target: FleetTarget): void {
		const {self, channel, clock, listLive} = this.options;
		const addresses = listLive().filter(({id}) => id !== self).map(({peerAddress}) => peerAddress);
		for (const message of describeNews(target, clock.readMonotonic())) {
			channel.send(addresses, limitMessageType, message);
		}
	}

	private applyLimit(limit: StatedNumber, {target, requestsPerSecond, ageMs}: MessageOf<'limit' | 'ask'>, now: MonotonicMs): void {
		if (requestsPerSecond !== undefined && ageMs !== undefined && limit.recordStated(requestsPerSecond, now - ageMs as MonotonicMs)) {
			this.options.logger.info('target limit changed', {target, requestsPerSecond, source: 'instance'});
		}
	}

	private applyBrittleness(brittleness: StatedNumber, {target}: LimitMessage, news: MessageOf<'ask'>['brittle'], now: MonotonicMs): void {
		if (news !== undefined && brittleness.recordStated(news.refusalsPerSecond, now - news.ageMs as MonotonicMs)) {
			this.options.logger.info('target brittleness changed', {target, refusalsPerSecond: news.refusalsPerSecond, source: 'instance'});
		}
	}

	private applyEnd(event: string, stated: StatedNumber, {target, ageMs}: MessageOf<'ended' | 'brittleEnded'>, now: MonotonicMs): void {
		if (stated.recordAbsent(now - ageMs as MonotonicMs)) {
			this.options.logger.info(event, {target, source: 'instance'});
			this.options.fleet.notify();
		}
	}
}

/** Returns the fields by which a message names its target. */
export function identify({description: {id, startedAt}}: FleetTarget): Pick<LimitMessage, 'target' | 'startedAt'> {
	return {target: id, startedAt};
}

/** Describes the statements of a target that are in force, for an ask. */
export function describeStatements({limit, brittleness}: FleetTarget, now: MonotonicMs): Pick<MessageOf<'ask'>, 'requestsPerSecond' | 'ageMs' | 'brittle'> {
	const requestsPerSecond = limit.read();
	const refusalsPerSecond = brittleness.read();
	return {
		requestsPerSecond, ageMs: requestsPerSecond === undefined ? undefined : measureAgeMs(limit.readStatedAt(), now),
		brittle: refusalsPerSecond === undefined ? undefined : {refusalsPerSecond, ageMs: measureAgeMs(brittleness.readStatedAt(), now)},
	};
}

/** Describes the ends of the statements that `ask` holds for valid and that have ended here. */
export function describeEnds(target: FleetTarget, ask: MessageOf<'ask'>, now: MonotonicMs): LimitMessage[] {
	return describeNews(target, now).filter(({type}) => (type === 'ended' && ask.requestsPerSecond !== undefined) || (type === 'brittleEnded' && ask.brittle !== undefined));
}

/** Describes what is known of a target: its statements, and those that have ended. */
function describeNews(target: FleetTarget, now: MonotonicMs): LimitMessage[] {
	const {limit, brittleness} = target;
	const {requestsPerSecond, ageMs, brittle} = describeStatements(target, now);
	const news: LimitMessage[] = [];
	if (requestsPerSecond !== undefined && ageMs !== undefined) {
		news.push({
			...identify(target), type: 'limit', requestsPerSecond, ageMs,
		});
	} else if (hasEnded(limit)) {
		news.push({...identify(target), type: 'ended', ageMs: measureAgeMs(limit.readEndedAt(), now)});
	}

	if (brittle !== undefined) {
		news.push({...identify(target), type: 'brittle', ...brittle});
	} else if (hasEnded(brittleness)) {
		news.push({...identify(target), type: 'brittleEnded', ageMs: measureAgeMs(brittleness.readEndedAt(), now)});
	}

	return news;
}

/** Whether a statement was in force that has ended. */
function hasEnded(stated: StatedNumber): boolean {
	return stated.readEndedAt() > Number.NEGATIVE_INFINITY;
}

function measureAgeMs(at: MonotonicMs, now: MonotonicMs): number {
	return Math.max(0, now - at);
}
