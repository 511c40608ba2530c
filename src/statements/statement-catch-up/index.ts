/**
 * Brings an instance that has just started up to date with what targets have stated to the others. Notices go only to the
 * instances that are live at that moment, and an older copy of the list may show a target that has left. A starting instance
 * therefore asks a few peers, the last ones after all others have learned of it.
 */

import {z} from 'zod';
import type {Clock} from '../../clock/clock/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {PeerCaller, PeerMethodRegistry} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {IncarnationStatements} from '../incarnation-statements/index.js';
import type {LeavingNotices} from '../leaving-notices/index.js';
import type {TargetIncarnation} from '../statement-register/index.js';

/** JSON-RPC method that returns the statements that an instance knows. */
export const readStatementsMethod = 'statements.read';
/** Number of answers after which no more peers are asked. */
const wantedAnswers = 3;
/** Pause between two asks, in milliseconds, in which the fleet learns of this instance. */
const askIntervalMs = 1500;
/** Pause before the next look for a peer while none is known, in milliseconds. */
const peerWaitMs = 50;
/** Time after the start for which peers are asked, in milliseconds. */
const catchUpMs = 30_000;
const peerTimeoutMs = 500;
/** Maximum number of targets in one answer. */
const maximumRows = 4096;
const maximumIdLength = 200;

const rowSchema = z.object({
	target: z.string().min(1).max(maximumIdLength), startedAt: z.number(), isLeaving: z.boolean(),
	/** The limit in force and the time since it was last stated. */
	limit: z.object({requestsPerSecond: z.number().nonnegative(), ageMs: z.number().nonnegative()}).optional(),
	/** The brittleness in force and the time since it was last stated. Instances of earlier builds don't tell it. */
	brittle: z.object({refusalsPerSecond: z.number().nonnegative(), ageMs: z.number().nonnegative()}).optional(),
});
const answerSchema = z.object({statements: z.array(rowSchema).max(maximumRows)});

type StatementRow = z.infer<typeof rowSchema>;

/** Options of `StatementCatchUp`. */
export type StatementCatchUpOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly fleet: TargetFleet;
	readonly caller: PeerCaller;
	readonly registry: PeerMethodRegistry;
	readonly leavingNotices: Pick<LeavingNotices, 'apply'>;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
};

/** Answers peers that have started, and asks peers after the own start. */
export class StatementCatchUp {
	/** Gauges of the metrics. */
	readonly gauges = {
		unlisted_targets: {help: 'Targets without an entry whose statements are kept.', read: () => this.options.fleet.statements.countUnlisted()},
	};

	constructor(private readonly options: StatementCatchUpOptions) {
		options.registry.register(readStatementsMethod, async () => ({statements: this.describe(options.clock.readMonotonic())}));
	}

	/** Asks peers until enough have answered, the time is over, or `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, listPeers} = this.options;
		const until = clock.readMonotonic() + catchUpMs;
		let answers = 0;
		while (!signal.aborted && answers < wantedAnswers && clock.readMonotonic() < until) {
			const peer = random.pickSome(listPeers(), 1)[0];
			const isAnswered = peer !== undefined && await this.requestFrom(peer);
			answers += isAnswered ? 1 : 0;
			await clock.sleep(peer === undefined ? peerWaitMs : askIntervalMs, signal);
		}
	}

	private async requestFrom({id}: Member): Promise<boolean> {
		const {caller, logger} = this.options;
		try {
			const answer = answerSchema.parse(await caller.call(id, readStatementsMethod, {}, peerTimeoutMs));
			for (const row of answer.statements) {
				this.apply(row);
			}

			return true;
		} catch (error) {
			logger.warn('statements not passed on by peer', {peer: id, reason: (error as Error).message});
			return false;
		}
	}

	private apply({target, startedAt, isLeaving, limit, brittle}: StatementRow): void {
		const {clock, logger, fleet, leavingNotices} = this.options;
		const now = clock.readMonotonic();
		const incarnation = {id: target as TargetId, startedAt};
		if (isLeaving) {
			leavingNotices.apply(incarnation);
		}

		const statements = fleet.statements.get(incarnation, now);
		if (limit !== undefined && statements.limit.recordStated(limit.requestsPerSecond, now - limit.ageMs as MonotonicMs)) {
			logger.info('target limit changed', {target, requestsPerSecond: limit.requestsPerSecond, source: 'instance'});
		}

		if (brittle !== undefined && statements.brittleness.recordStated(brittle.refusalsPerSecond, now - brittle.ageMs as MonotonicMs)) {
			logger.info('target brittleness changed', {target, refusalsPerSecond: brittle.refusalsPerSecond, source: 'instance'});
		}
	}

	/** Describes the statements that bind all instances. */
	private describe(now: MonotonicMs): StatementRow[] {
		return this.options.fleet.statements.list()
			.map(({incarnation, statements}) => describeStatements(incarnation, statements, now))
			.filter(({isLeaving, limit, brittle}) => isLeaving || limit !== undefined || brittle !== undefined)
			.slice(0, maximumRows);
	}
}

function describeStatements({id, startedAt}: TargetIncarnation, {isLeaving, limit, brittleness}: IncarnationStatements, now: MonotonicMs): StatementRow {
	const requestsPerSecond = limit.read();
	const refusalsPerSecond = brittleness.read();
	return {
		target: id, startedAt, isLeaving,
		limit: requestsPerSecond === undefined ? undefined : {requestsPerSecond, ageMs: Math.max(0, now - limit.readStatedAt())},
		brittle: refusalsPerSecond === undefined ? undefined : {refusalsPerSecond, ageMs: Math.max(0, now - brittleness.readStatedAt())},
	};
}
