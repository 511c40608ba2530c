/**
 * Keeps prompts with a part that crashes engines away from them, on all instances.
 *
 * Each instance records the crashes that it sees and those that others report, and decides for itself. The one that
 * saw the deciding crash announces and stores the quarantine at once. The others do so after a random pause, and only if
 * they have not heard of it by then, so that a large fleet neither floods its network nor the object API.
 */

import {LRUCache} from 'lru-cache';
import type {Clock} from '../../clock/clock/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {EngineWork} from '../../forwarding/call-types/index.js';
import type {PromptGuard, PromptRejection} from '../../forwarding/prompt-guard/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {splitList} from '../../peers/split-list/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {ObjectApi, StoredObject} from '../../store/object-api/index.js';
import {CrashLedger, type CrashReport} from '../crash-ledger/index.js';
import {forgetQuarantines} from '../forget-quarantines/index.js';
import {partCodec} from '../part-codec/index.js';
import {listSharedPartKeys, type PartKey} from '../part-key/index.js';
import type {QuarantineNotice} from '../message-fields/index.js';
import {QuarantineExchange} from '../quarantine-exchange/index.js';
import {
	maximumClearancesPerMessage, type Clearance, type QuarantineNews,
} from '../quarantine-messages/index.js';
import {QuarantineRecords} from '../quarantine-records/index.js';
import {QuarantineRegister, type Quarantine} from '../quarantine-register/index.js';

/** Time from a crash to the evaluation of its cause, in milliseconds. */
const evaluationDelayMs = 100;
/** Longest pause before an instance announces a quarantine that the deciding crash of another one led to, in milliseconds. */
const maximumAnnouncementDelayMs = 500;
/** Shortest and longest pause before such an instance stores it, in milliseconds. */
const storeDelayMs = {shortest: 2000, longest: 6000};
/** Minimum interval between two announcements of clearances, in milliseconds. */
const clearanceIntervalMs = 200;
/** Longest pause before an instance tells the others of earlier complete answers with parts of a crash, in milliseconds. */
const maximumConfirmationDelayMs = 200;
/** Time after which it is told again, in milliseconds. */
const confirmationIntervalMs = 5000;
const maximumRecentParts = 1000;
const maximumLoggedParts = 6;
const maximumDumpedParts = 50;
const randomSteps = 1000;

/** Options of `PromptQuarantine`. */
export type PromptQuarantineOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	/** Creates and reads stored quarantines, if necessary through a peer. */
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update'>;
	readonly remover: Pick<ObjectApi, 'remove'>;
	readonly collection: string;
};

/** Guard of prompts of one instance. */
export class PromptQuarantine implements PromptGuard {
	/** Gauges for the metrics of the instance. */
	readonly gauges = {
		quarantined_parts: {help: 'Prompt parts in quarantine.', read: () => this.register.countActive(this.options.clock.readMonotonic())},
		quarantine_rejections: {help: 'Calls rejected for a quarantined prompt part since the start.', read: () => this.rejectedCalls},
	};

	private rejectedCalls = 0;
	/** When this instance last saw a crash itself. */
	private ownCrashAt = Number.NEGATIVE_INFINITY;
	private readonly ledger = new CrashLedger();
	private readonly register = new QuarantineRegister();
	private readonly exchange: QuarantineExchange;
	private readonly records: QuarantineRecords;
	/** When other instances last heard of a quarantine, by part. */
	private readonly announced = new LRUCache<PartKey, MonotonicMs>({max: maximumRecentParts});
	/** Clearances that are to be announced. */
	private readonly pendingClearances = new Map<PartKey, Clearance>();
	/** When this instance last announced clearances. */
	private clearedAt: MonotonicMs = Number.NEGATIVE_INFINITY as MonotonicMs;
	/** When this or another instance last told all others of a complete answer, by part. */
	private readonly confirmed = new LRUCache<PartKey, MonotonicMs>({max: maximumRecentParts});

	constructor(private readonly options: PromptQuarantineOptions) {
		this.exchange = new QuarantineExchange({
			...options,
			onNews: (news, now) => {
				this.applyNews(news, now);
			},
		});
		this.records = new QuarantineRecords({
			...options, codec: partCodec,
			read: part => this.register.read(part),
			onStored: quarantine => {
				this.adopt(quarantine, 'store');
			},
			onRemoved: part => {
				this.applyRemoval(part);
			},
		});
	}

	/** Removes quarantines whose probation has ended, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await forgetQuarantines({...this.options, register: this.register, records: this.records}, signal);
	}

	/** Takes over the stored quarantines. */
	replaceStored(objects: readonly StoredObject[], version: string | undefined): void {
		this.records.replace(objects, version);
	}

	findRejection(work: EngineWork, now: MonotonicMs): PromptRejection | undefined {
		const quarantine = this.register.findActive(listSharedPartKeys(work), now);
		if (quarantine === undefined) {
			return undefined;
		}

		this.rejectedCalls += 1;
		return {part: quarantine.key, remainingMs: quarantine.endsAt - now};
	}

	isSuspicious(work: EngineWork, now: MonotonicMs): boolean {
		return this.ledger.isSuspicious(listSharedPartKeys(work), part => this.isCulprit(part), now);
	}

	recordBrokenAnswer(work: EngineWork, {description}: FleetTarget, sentAt: MonotonicMs, now: MonotonicMs): void {
		const parts = listSharedPartKeys(work);
		if (parts.length > 0) {
			const crash: CrashReport = {
				target: description.id, startedAt: description.startedAt, crashedAt: now, prompts: [{parts, sentAt}],
			};
			this.exchange.announceCrash(crash);
			this.addCrash(crash, 'own', now);
		}
	}

	recordCompleteAnswer(work: EngineWork, now: MonotonicMs): void {
		const parts = listSharedPartKeys(work);
		const lifted = this.liftAll(parts, 'completed');
		const cleared = [...new Set([...this.ledger.recordCompletion(parts, now), ...lifted])];
		if (cleared.length > 0) {
			this.options.logger.info('prompt parts cleared', {parts: formatParts(cleared), reason: 'completed'});
			this.scheduleClearances(cleared, now);
		}

		for (const part of lifted) {
			void this.records.remove(part);
		}
	}

	dump() {
		const now = this.options.clock.readMonotonic();
		return {
			quarantined: this.register.list().slice(0, maximumDumpedParts).map(({key: part, crashes, durationMs, endsAt}) => ({
				part, crashes, durationMs, remainingMs: Math.max(0, Math.round(endsAt - now)),
			})),
			suspected: this.ledger.listEvidence(part => this.isCulprit(part), now).slice(0, maximumDumpedParts),
			rejectedCalls: this.rejectedCalls,
		};
	}

	/** Whether crashes with the part need no other explanation. */
	private isCulprit(part: PartKey): boolean {
		return this.register.read(part) !== undefined;
	}

	private applyNews(news: QuarantineNews, now: MonotonicMs): void {
		switch (news.type) {
			case 'crash': {
				this.addCrash(news.crash, 'peer', now);
				break;
			}

			case 'clearance': {
				for (const clearance of news.clearances) {
					this.applyClearance(clearance, now);
				}

				break;
			}

			case 'quarantine': {
				this.applyNotice(news.notice, now);
				break;
			}
		}
	}

	private applyClearance({part, completedAt}: Clearance, now: MonotonicMs): void {
		this.confirmed.set(part, now);
		this.ledger.recordCompletion([part], completedAt);
		const quarantine = this.register.read(part);
		const isRefuted = quarantine !== undefined && completedAt >= quarantine.endsAt - quarantine.durationMs;
		if (isRefuted) {
			this.liftAll([part], 'completed elsewhere');
			void this.records.removeOwn(part);
		}
	}

	private applyNotice({quarantine, decidedAt}: QuarantineNotice<PartKey>, now: MonotonicMs): void {
		const {key: part} = quarantine;
		if (!this.ledger.hasCompletedSince(part, decidedAt)) {
			this.announced.set(part, now);
			if (this.adopt(quarantine, 'peer')) {
				void this.records.store(quarantine, this.drawDelay(storeDelayMs.shortest, storeDelayMs.longest));
			}
		}
	}

	private addCrash(crash: CrashReport, source: 'own' | 'peer', now: MonotonicMs): void {
		this.ownCrashAt = source === 'own' ? now : this.ownCrashAt;
		if (this.ledger.recordCrash(crash, now)) {
			void this.evaluateAfterDelay();
			const parts = new Set(crash.prompts.flatMap(prompt => prompt.parts));
			const suspects = this.ledger.listEvidence(part => this.isCulprit(part), now).filter(({part}) => parts.has(part));
			this.options.logger.info('engine crash recorded', {
				target: crash.target, startedAt: crash.startedAt, source, agoMs: Math.round(now - crash.crashedAt),
				prompts: crash.prompts.length, parts: formatParts(suspects.map(({part, crashes, sequentialCrashes}) => `${part}:${crashes}:${sequentialCrashes}`)),
			});
		}

		void this.confirmProvenParts(crash, now);
		this.renewAfterProbation(crash, source, now);
	}

	/** Quarantines the culprits, after a time in which other instances report what they saw of the same crash. */
	private async evaluateAfterDelay(): Promise<void> {
		const {clock} = this.options;
		await clock.sleep(evaluationDelayMs);
		const now = clock.readMonotonic();
		const source = now - this.ownCrashAt <= 2 * evaluationDelayMs ? 'own' : 'peer';
		for (const {part, crashes} of this.ledger.findCulprits(key => this.isCulprit(key), now)) {
			this.quarantine(this.register.plan(part, crashes, now), source, now);
		}
	}

	/**
	 * Tells the others which parts of a crash were in calls that ended with a complete answer here before, since these
	 * need more evidence. It does so after a random pause, and only if no other instance has done it by then.
	 */
	private async confirmProvenParts({prompts}: CrashReport, now: MonotonicMs): Promise<void> {
		const {clock} = this.options;
		const parts = [...new Set(prompts.flatMap(prompt => prompt.parts))];
		const isUnconfirmed = (part: PartKey) => this.ledger.readCompletedAt(part) !== undefined && !this.isConfirmed(part, now);
		if (!parts.some(part => isUnconfirmed(part))) {
			return;
		}

		await clock.sleep(this.drawDelay(0, maximumConfirmationDelayMs));
		const clearances = parts.filter(part => isUnconfirmed(part)).slice(0, maximumClearancesPerMessage)
			.map(part => ({part, completedAt: this.ledger.readCompletedAt(part)!}));
		if (clearances.length > 0) {
			this.announceClearances(clearances, clock.readMonotonic());
		}
	}

	/** Announces clearances at once, or after the minimum interval together with those that follow until then. */
	private scheduleClearances(parts: readonly PartKey[], now: MonotonicMs): void {
		const isScheduled = this.pendingClearances.size > 0;
		for (const part of parts) {
			this.pendingClearances.set(part, {part, completedAt: now});
		}

		if (!isScheduled) {
			void this.flushClearances(now);
		}
	}

	private async flushClearances(now: MonotonicMs): Promise<void> {
		const {clock} = this.options;
		await clock.sleep(Math.max(0, this.clearedAt + clearanceIntervalMs - now));
		const clearances = [...this.pendingClearances.values()];
		this.pendingClearances.clear();
		this.clearedAt = clock.readMonotonic();
		for (const part of splitList(clearances, maximumClearancesPerMessage)) {
			this.announceClearances(part, this.clearedAt);
		}
	}

	private announceClearances(clearances: readonly Clearance[], now: MonotonicMs): void {
		for (const {part} of clearances) {
			this.confirmed.set(part, now);
		}

		this.exchange.announce({type: 'clearance', clearances});
	}

	/** Quarantines the parts of a crash again that are on probation, the deepest of each prompt. */
	private renewAfterProbation({prompts, crashedAt}: CrashReport, source: 'own' | 'peer', now: MonotonicMs): void {
		for (const {parts, sentAt} of prompts) {
			const part = parts.findLast(candidate => this.register.isOnProbation(candidate, now));
			const isNew = part !== undefined && sentAt > this.register.read(part)!.endsAt && !this.ledger.hasCompletedSince(part, crashedAt);
			if (isNew && this.register.findActive(parts, now) === undefined) {
				this.quarantine(this.register.plan(part, 1, now), source, now);
			}
		}
	}

	private quarantine(quarantine: Quarantine, source: 'own' | 'peer', now: MonotonicMs): void {
		if (!this.register.add(quarantine)) {
			return;
		}

		this.logQuarantine(quarantine, source === 'own' ? 'crash' : 'crash reported by peer', now);
		const isOwn = source === 'own';
		void this.announceAfterDelay({quarantine, decidedAt: now}, isOwn ? 0 : this.drawDelay(0, maximumAnnouncementDelayMs));
		void this.records.store(quarantine, isOwn ? 0 : this.drawDelay(storeDelayMs.shortest, storeDelayMs.longest));
	}

	private async announceAfterDelay(notice: QuarantineNotice<PartKey>, delayMs: number): Promise<void> {
		const {key: part, endsAt} = notice.quarantine;
		if (delayMs > 0) {
			await this.options.clock.sleep(delayMs);
		}

		const isCurrent = this.register.read(part)?.endsAt === endsAt;
		if (isCurrent && (this.announced.get(part) ?? Number.NEGATIVE_INFINITY) < notice.decidedAt) {
			this.announced.set(part, notice.decidedAt);
			this.exchange.announce({type: 'quarantine', notice});
		}
	}

	/** Takes over a quarantine that another instance decided on. Returns whether it was new. */
	private adopt(quarantine: Quarantine, source: string): boolean {
		const now = this.options.clock.readMonotonic();
		const isNew = this.register.add(quarantine);
		if (isNew) {
			this.logQuarantine(quarantine, source, now);
		}

		return isNew;
	}

	private logQuarantine({key: part, crashes, endsAt, durationMs}: Quarantine, source: string, now: MonotonicMs): void {
		const until = new Date(this.options.clock.readWall() + (endsAt - now));
		this.options.logger.warn('prompt part quarantined', {
			part, crashes, durationMs, until: until.toISOString(), source,
		});
	}

	/** Lifts the quarantines of parts with which a call ended with a complete answer. Returns the parts that had one. */
	private liftAll(parts: readonly PartKey[], reason: string): PartKey[] {
		const lifted = parts.filter(part => this.register.lift(part) !== undefined);
		for (const part of lifted) {
			this.options.logger.warn('quarantine lifted', {part, reason});
		}

		return lifted;
	}

	/** Lifts a quarantine whose object was deleted, and forgets the evidence, which would bring it back or speak against other parts. */
	private applyRemoval(part: PartKey): void {
		if (this.liftAll([part], 'object deleted').length > 0) {
			this.ledger.forgetCrashes(part);
		}
	}

	private isConfirmed(part: PartKey, now: MonotonicMs): boolean {
		const confirmedAt = this.confirmed.get(part);
		return confirmedAt !== undefined && now - confirmedAt < confirmationIntervalMs;
	}

	private drawDelay(shortestMs: number, longestMs: number): number {
		return shortestMs + ((longestMs - shortestMs) * this.options.random.pickIndex(randomSteps) / randomSteps);
	}
}

/** Formats parts for a log line of bounded length. */
function formatParts(parts: readonly string[]): string {
	const omitted = parts.length - maximumLoggedParts;
	return parts.slice(0, maximumLoggedParts).join(',') + (omitted > 0 ? `,+${omitted}` : '');
}
