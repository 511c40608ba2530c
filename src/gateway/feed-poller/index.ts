/**
 * Polls peers for newer copies of the collections. A follower polls the watchers by turns, so that a watcher whose watch is
 * silent delays a change only until the next one is polled. When an answer is late, further watchers are asked at once, twice
 * as many each time, and the late ones are left out of the turn.
 */

import type {Clock} from '../../clock/clock/index.js';
import {readInstant} from '../../clock/instant/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {AnswerProgress, PeerCaller, PeerCallTimeout} from '../../peers/peer-caller/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {CollectionMirror} from '../../store/collection-mirror/index.js';
import type {RevisionTimeline} from '../../store/revision-timeline/index.js';
import type {FeedHealth} from '../feed-health/index.js';
import {readFeedsMethod, type FeedsRequest, type FeedsResponse} from '../feed-messages/index.js';
import {hasLostRegularWatchers, listWatchers} from '../list-watchers/index.js';
import {WatcherFailures} from '../watcher-failures/index.js';

/** Maximum time for which a watcher holds a follower's request until a collection changes, in milliseconds. */
const longPollTimeoutMs = 600;
/** The same while no watcher is known to be healthy and additional ones start, in milliseconds. */
const searchPollTimeoutMs = 200;
/** Time beyond the wait at a watcher after which an answer that has not begun is late, in milliseconds. */
const lateAnswerMs = 250;
/** Time until the answer to a follower's poll has to begin, in milliseconds. A late poll goes on, and its answer counts. */
const pollTimeoutMs = 1400;
/** Limits of an answer that has begun. */
const answerProgress: AnswerProgress = {silenceMs: 700, maximumMs: 8000};
/** Timeout of a watcher's call to a peer, in milliseconds. */
const peerCheckTimeoutMs = 400;
/** Pause of a follower after a poll that no watcher has answered, in milliseconds. */
const failurePauseMs = 50;
/** Watchers that are polled at the same time while no watcher is known to be healthy. */
const searchedWatchers = 3;

/** What an answer of a peer brought. */
type PollOutcome = 'updated' | 'unchanged' | 'interrupted' | 'referred';
/** Mean pause of a follower after a poll, in milliseconds; changes in quick succession share a response. */
const meanPausesMs: Readonly<Record<PollOutcome, number>> = {
	updated: 250, unchanged: 0, interrupted: 250, referred: 100,
};
/** A poll under way. `outcome` rejects if the poll fails. */
type Poll = {readonly watcher: InstanceId; readonly outcome: Promise<PollOutcome>; hasBegun: boolean};

/** Options of the feed poller. */
export type FeedPollerOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly caller: PeerCaller;
	/** Ids of the live instances, this one included. */
	readonly listLiveIds: () => readonly InstanceId[];
	readonly mirrors: ReadonlyMap<string, CollectionMirror>;
	readonly timeline: RevisionTimeline;
	readonly health: FeedHealth;
};

/** Fetches newer copies of the collections from peers. */
export class FeedPoller {
	readonly failures: WatcherFailures;
	private turn = 0;
	/** An instance that has newer copies, as one that was asked for them said. */
	private referredPeer: InstanceId | undefined;
	private readonly pendingWatchers = new Set<InstanceId>();

	constructor(private readonly options: FeedPollerOptions) {
		this.failures = new WatcherFailures(options.random);
	}

	/** Polls the next watcher, and others if its answer is late. Resolves after the pause that the outcome demands. */
	async pollNextWatcher(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.options;
		this.turn += 1;
		const outcome = await this.pollUntilAnswered(this.listPolledWatchers(clock.readMonotonic()));
		await clock.sleep(outcome === undefined ? failurePauseMs : random.applyJitter(meanPausesMs[outcome]), signal);
	}

	/** Fetches what a peer has at present. */
	async fetchFromPeer(peer: InstanceId): Promise<void> {
		try {
			await this.fetch(peer, 0, {timeoutMs: peerCheckTimeoutMs, progress: answerProgress});
		} catch (error) {
			this.handleFailure(peer, error as Error);
		}
	}

	/** Lists the regular watchers, and the additional ones that are needed at present as far as this instance knows. */
	listWatchers(now: MonotonicMs): InstanceId[] {
		const staleMs = this.options.health.measureStaleMs(this.hasLostRegularWatchers(now), now);
		return listWatchers(this.options.listLiveIds(), staleMs, id => this.failures.hasFailed(id, now));
	}

	private hasLostRegularWatchers(now: MonotonicMs): boolean {
		return hasLostRegularWatchers(this.options.listLiveIds(), id => this.failures.hasFailed(id, now));
	}

	/** Whether no watcher is known to be healthy, and additional ones are about to start. */
	private isSearching(now: MonotonicMs): boolean {
		return this.hasLostRegularWatchers(now) && this.options.health.measureContactAgeMs(now) > longPollTimeoutMs + lateAnswerMs;
	}

	/** Lists the watchers that are polled, the next one first: those in turn, or all that have no poll under way if none is in turn. */
	private listPolledWatchers(now: MonotonicMs): InstanceId[] {
		const watchers = this.listWatchers(now).filter(id => id !== this.options.self);
		const watchersInTurn = watchers.filter(id => this.failures.isInTurn(id, now));
		const polled = watchersInTurn.length > 0 ? watchersInTurn : watchers.filter(id => !this.pendingWatchers.has(id));
		const first = this.turn % Math.max(1, polled.length);
		const turns = [...polled.slice(first), ...polled.slice(0, first)];
		const {referredPeer} = this;
		this.referredPeer = undefined;
		return referredPeer === undefined || this.failures.hasFailed(referredPeer, now) ? turns : [referredPeer, ...turns.filter(id => id !== referredPeer)];
	}

	/** Polls watchers, in growing groups while no answer comes. Returns undefined if none answered in time. */
	private async pollUntilAnswered(watchers: readonly InstanceId[]): Promise<PollOutcome | undefined> {
		const {clock} = this.options;
		const isSearching = this.isSearching(clock.readMonotonic());
		const polls: Poll[] = [];
		let groupSize = isSearching ? searchedWatchers : 1;
		let waitMs = isSearching ? searchPollTimeoutMs : longPollTimeoutMs;
		while (polls.length < watchers.length) {
			const group = watchers.slice(polls.length, polls.length + groupSize);
			const groupWaitMs = group.some(id => this.failures.hasFailed(id, clock.readMonotonic())) ? 0 : waitMs;
			polls.push(...group.map(watcher => this.startPoll(watcher, groupWaitMs)));
			const outcome = await this.waitForAnswer(polls, groupWaitMs + lateAnswerMs);
			if (outcome !== undefined) {
				return outcome;
			}

			for (const {watcher} of polls) {
				this.failures.recordFailure(watcher, clock.readMonotonic());
			}

			groupSize *= 2;
			waitMs = 0;
		}

		return undefined;
	}

	private startPoll(watcher: InstanceId, waitMs: number): Poll {
		this.pendingWatchers.add(watcher);
		const poll: Poll = {
			watcher,
			outcome: this.fetch(watcher, waitMs, {
				timeoutMs: pollTimeoutMs, progress: answerProgress,
				onAnswerBegun() {
					poll.hasBegun = true;
				},
			}),
			hasBegun: false,
		};
		poll.outcome.catch((error: unknown) => {
			this.handleFailure(watcher, error as Error);
		}).finally(() => {
			this.pendingWatchers.delete(watcher);
		});
		return poll;
	}

	/** Waits for the first answer. Returns undefined if all polls have failed, or if no answer has begun within `patienceMs`. */
	private async waitForAnswer(polls: readonly Poll[], patienceMs: number): Promise<PollOutcome | undefined> {
		const controller = new AbortController();
		const waitForBegunAnswer = async () => {
			await this.options.clock.sleep(patienceMs, controller.signal);
			const begunPolls = polls.filter(({hasBegun}) => hasBegun);
			return begunPolls.length === 0 ? undefined : Promise.any(begunPolls.map(async ({outcome}) => outcome));
		};

		try {
			return await Promise.race([Promise.any(polls.map(async ({outcome}) => outcome)), waitForBegunAnswer()]);
		} catch {
			// Each failure has been logged by `handleFailure`.
			return undefined;
		} finally {
			controller.abort();
		}
	}

	private async fetch(peer: InstanceId, waitMs: number, timeout: PeerCallTimeout): Promise<PollOutcome> {
		const {caller, clock, timeline, mirrors} = this.options;
		const sentAt = readInstant(clock);
		const known = Object.fromEntries([...mirrors].map(([collection, mirror]) => [collection, mirror.readVersion() ?? '']));
		const request: FeedsRequest = {known, waitMs, acceptsReferral: true};
		const response = await caller.call<FeedsResponse>(peer, readFeedsMethod, request, timeout);
		timeline.recordConfirmed(response.confirmed ?? [], sentAt);
		this.recordContact(peer, response);
		this.applyUpdates(peer, response);
		if (response.mustConfirm === true) {
			// The versions in this request show the peer that its large answer has arrived.
			void this.fetchFromPeer(peer);
		}

		if (response.referral !== undefined) {
			this.referredPeer = this.options.random.pickSome(response.referral.filter(id => id !== this.options.self), 1)[0];
			return 'referred';
		}

		return response.isInterrupted ? 'interrupted' : (response.updates.length > 0 ? 'updated' : 'unchanged');
	}

	private applyUpdates(peer: InstanceId, {updates}: FeedsResponse): void {
		for (const update of updates) {
			if (this.options.mirrors.get(update.collection)?.applyUpdate(update) === true) {
				this.options.logger.info('collection taken over from peer', {collection: update.collection, version: update.version, peer});
			}
		}
	}

	/** Records whether a peer that answered is cut off from the object API. */
	private recordContact(peer: InstanceId, {isInterrupted, contactAgeMs = 0}: FeedsResponse): void {
		const now = this.options.clock.readMonotonic();
		this.failures.recordAnswer(peer, isInterrupted, now);
		if (!isInterrupted) {
			this.options.health.recordAnswer(contactAgeMs, listWatchers(this.options.listLiveIds()).includes(peer), now);
		}
	}

	private handleFailure(peer: InstanceId, error: Error): void {
		this.failures.recordFailure(peer, this.options.clock.readMonotonic());
		this.options.logger.warn('peer did not pass collections on', {peer, reason: error.message});
	}
}
