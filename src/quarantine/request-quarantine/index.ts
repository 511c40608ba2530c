/**
 * Keeps requests that crash the targets which run them away from all targets, on all instances.
 *
 * Each instance reports the crashes that it sees, and each decides for itself from all reports. The first quarantine is short.
 * After it, a single attempt in the whole fleet, the trial, tells a sound request that was only near the crashes from one
 * that causes them. The instance that wants to make it announces it and waits for objections. Three trials that fail keep a
 * request away for so long that no target sees a fourth.
 */

import {LRUCache} from 'lru-cache';
import type {Clock} from '../../clock/clock/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetState} from '../../fleet/probe-target/index.js';
import type {RequestGuard, RequestKeyReader, RequestRejection} from '../../forwarding/request-guard/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {ObjectApi, StoredObject} from '../../store/object-api/index.js';
import {planRequestDuration} from '../plan-request-duration/index.js';
import {forgetQuarantines} from '../forget-quarantines/index.js';
import {QuarantineRecords} from '../quarantine-records/index.js';
import {
	isActive, QuarantineRegister, type Quarantine,
} from '../quarantine-register/index.js';
import {requestCodec} from '../request-codec/index.js';
import {CrashConfirmation} from '../crash-confirmation/index.js';
import {RequestExchange} from '../request-exchange/index.js';
import type {RequestKey} from '../request-key/index.js';
import {RequestLedger, type RequestCrash, type RequestEvidence} from '../request-ledger/index.js';
import type {RequestNews} from '../request-messages/index.js';
import {objectionMs, RequestTrials, trialIntervalMs} from '../request-trials/index.js';

/** Time from a crash report to the evaluation of its cause, in milliseconds. */
const evaluationDelayMs = 100;
/** Bounds of the pause after which an instance that did not see the deciding crash announces or stores a quarantine, in milliseconds. */
const announcementDelayMs = {shortest: 0, longest: 500};
const storeDelayMs = {shortest: 2000, longest: 6000};
/** Maximum number of quarantines that are stored, whatever callers send. The rest is known to the instances that run now. */
const maximumStoredQuarantines = 500;
const maximumAnnounced = 1000;
const maximumDumpedRequests = 50;
const randomSteps = 1000;

/** Options of `RequestQuarantine`. */
export type RequestQuarantineOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly self: InstanceId;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	/** Creates and reads stored quarantines, if necessary through a peer. */
	readonly objectApi: Pick<ObjectApi, 'get' | 'create' | 'update'>;
	readonly remover: Pick<ObjectApi, 'remove'>;
	readonly collection: string;
	/** Finds out whether a target whose connection broke has ended. */
	readonly probe: (target: FleetTarget) => Promise<TargetState>;
};

type Source = 'own' | 'peer' | 'store';

/** Guard of whole requests of one instance. */
export class RequestQuarantine implements RequestGuard {
	/** Gauges for the metrics of the instance. */
	readonly gauges = {
		quarantined_requests: {help: 'Requests in quarantine.', read: () => this.register.countActive(this.options.clock.readMonotonic())},
		request_quarantine_rejections: {help: 'Calls rejected because their request is quarantined, since the start.', read: () => this.rejectedCalls},
		confirmed_target_crashes: {help: 'Crashes of targets that this instance has confirmed since the start.', read: () => this.confirmedCrashes},
	};

	private rejectedCalls = 0;
	private confirmedCrashes = 0;
	private readonly ledger = new RequestLedger();
	private readonly register = new QuarantineRegister<RequestKey>(planRequestDuration);
	private readonly records: QuarantineRecords<RequestKey>;
	private readonly exchange: RequestExchange;
	private readonly confirmation: CrashConfirmation;
	private readonly trials = new RequestTrials();
	/** When a quarantine of a request was last announced, by this instance or another one. */
	private readonly announced = new LRUCache<RequestKey, MonotonicMs>({max: maximumAnnounced});
	private isEvaluationDue = false;
	private ownCrashAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: RequestQuarantineOptions) {
		const {clock, probe} = options;
		this.exchange = new RequestExchange({
			...options,
			onNews: (news, now) => {
				this.applyNews(news, now);
			},
		});
		this.confirmation = new CrashConfirmation({
			clock, probe,
			onCrash: crash => {
				this.recordOwnCrash(crash);
			},
		});
		this.records = new QuarantineRecords({
			...options, codec: requestCodec,
			read: key => this.register.read(key),
			onStored: quarantine => {
				this.adopt(quarantine, 'store', clock.readMonotonic());
			},
			onRemoved: key => {
				// Where the quarantine was lifted before, what is recorded now came later.
				if (this.lift(key, 'object deleted')) {
					this.ledger.forget(key);
				}
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

	findRejection(readKey: RequestKeyReader, now: MonotonicMs): RequestRejection | undefined {
		const quarantine = this.register.isEmpty ? undefined : this.register.read(readKey());
		if (quarantine === undefined) {
			return undefined;
		}

		this.rejectedCalls += 1;
		return {request: quarantine.key, remainingMs: isActive(quarantine, now) ? quarantine.endsAt - now : trialIntervalMs};
	}

	async beginTrial(readKey: RequestKeyReader): Promise<boolean> {
		const {clock, self, logger} = this.options;
		const now = clock.readMonotonic();
		if (this.register.isEmpty || !this.register.isOnProbation(readKey(), now)) {
			return false;
		}

		const key = readKey();
		const trial = this.trials.begin(key, self, now);
		if (trial === undefined) {
			return false;
		}

		this.exchange.announce({type: 'trial', key, ...trial});
		await clock.sleep(objectionMs);
		const isGranted = this.trials.holds(key, trial) && this.register.isOnProbation(key, clock.readMonotonic());
		logger.info('request trial', {request: key, outcome: isGranted ? 'granted' : 'left to another instance'});
		return isGranted;
	}

	/** Quarantines the request again for longer if its trial has not led to a complete answer in time. */
	recordTrialSent(readKey: RequestKeyReader): void {
		void this.judgeTrial(readKey());
	}

	isSuspicious(readKey: RequestKeyReader, now: MonotonicMs): boolean {
		if (this.ledger.isEmpty && this.register.isEmpty) {
			return false;
		}

		const key = readKey();
		return this.isCulprit(key) || this.ledger.isSuspicious(key, other => this.isCulprit(other), now);
	}

	recordBrokenConnection(readKey: RequestKeyReader, target: FleetTarget, sentAt: MonotonicMs, now: MonotonicMs): void {
		this.confirmation.add({key: readKey(), sentAt}, target, now);
	}

	recordCompleteAnswer(readKey: RequestKeyReader, now: MonotonicMs): void {
		if (this.ledger.isEmpty && this.register.isEmpty) {
			return;
		}

		const key = readKey();
		const isCleared = this.ledger.recordCompletion(key, now);
		const isLifted = this.lift(key, 'completed');
		if (isCleared || isLifted) {
			this.options.logger.info('request cleared', {request: key, reason: 'completed'});
			this.exchange.announce({type: 'clearance', key, completedAt: now});
		}

		if (isLifted) {
			void this.records.remove(key);
		}
	}

	dump() {
		const now = this.options.clock.readMonotonic();
		return {
			quarantined: this.register.list().slice(0, maximumDumpedRequests).map(({key, crashes, durationMs, endsAt}) => ({
				request: key, crashes, durationMs, remainingMs: Math.max(0, Math.round(endsAt - now)),
			})),
			suspected: this.ledger.listEvidence(key => this.isCulprit(key), now).slice(0, maximumDumpedRequests),
			rejectedCalls: this.rejectedCalls,
		};
	}

	/** Whether crashes with the request need no other explanation. */
	private isCulprit(key: RequestKey): boolean {
		return this.register.read(key) !== undefined;
	}

	private async judgeTrial(key: RequestKey): Promise<void> {
		const {clock} = this.options;
		await clock.sleep(trialIntervalMs);
		const now = clock.readMonotonic();
		if (this.register.isOnProbation(key, now)) {
			this.quarantine({key, crashes: 0, sequentialCrashes: 0}, 'own', now);
		}
	}

	private applyNews(news: RequestNews, now: MonotonicMs): void {
		switch (news.type) {
			case 'crash': {
				this.addCrash(news.crash, 'peer', now);
				break;
			}

			case 'clearance': {
				this.applyClearance(news.key, news.completedAt);
				break;
			}

			case 'quarantine': {
				// A notice may be repeated after the answer that refutes it.
				if (!this.ledger.hasCompletedSince(news.quarantine.key, news.decidedAt)) {
					this.announced.set(news.quarantine.key, now);
					if (this.adopt(news.quarantine, 'peer', now)) {
						this.store(news.quarantine, this.drawDelay(storeDelayMs));
					}
				}

				break;
			}

			case 'trial': {
				this.trials.record(news.key, {instance: news.instance, announcedAt: news.announcedAt});
				break;
			}
		}
	}

	private applyClearance(key: RequestKey, completedAt: MonotonicMs): void {
		this.ledger.recordCompletion(key, completedAt);
		const quarantine = this.register.read(key);
		if (quarantine !== undefined && completedAt >= quarantine.endsAt - quarantine.durationMs) {
			this.lift(key, 'completed elsewhere');
			void this.records.removeOwn(key);
		}
	}

	private recordOwnCrash(crash: RequestCrash): void {
		const now = this.options.clock.readMonotonic();
		this.confirmedCrashes += 1;
		this.ownCrashAt = now;
		this.exchange.announceCrash(crash);
		this.addCrash(crash, 'own', now);
	}

	private addCrash(crash: RequestCrash, source: Source, now: MonotonicMs): void {
		const isNew = this.ledger.recordCrash(crash, now);
		if (isNew || source === 'own') {
			this.logCrash(crash, source, now);
		}

		this.renewAfterProbation(crash, source, now);
		if (!this.isEvaluationDue) {
			this.isEvaluationDue = true;
			void this.evaluateAfterDelay();
		}
	}

	/** Quarantines the culprits, after a time in which other instances report what they saw of the same crash. */
	private async evaluateAfterDelay(): Promise<void> {
		const {clock} = this.options;
		await clock.sleep(evaluationDelayMs);
		this.isEvaluationDue = false;
		const now = clock.readMonotonic();
		const source = now - this.ownCrashAt <= 2 * evaluationDelayMs ? 'own' : 'peer';
		// A culprit that has just been found explains crashes which would speak against others.
		for (;;) {
			const culprits = this.ledger.findCulprits(key => this.isCulprit(key), now);
			if (culprits.length === 0) {
				return;
			}

			for (const culprit of culprits) {
				this.quarantine(culprit, source, now);
			}
		}
	}

	/** Quarantines a request on probation again that was sent after the end of its quarantine. */
	private renewAfterProbation({requests}: RequestCrash, source: Source, now: MonotonicMs): void {
		for (const {key, sentAt} of requests) {
			if (this.register.isOnProbation(key, now) && sentAt > this.register.read(key)!.endsAt) {
				this.quarantine({key, crashes: 1, sequentialCrashes: 1}, source, now);
			}
		}
	}

	private quarantine({key, crashes, sequentialCrashes}: RequestEvidence, source: Source, now: MonotonicMs): void {
		const quarantine = this.register.plan(key, crashes, now, sequentialCrashes);
		if (!this.register.add(quarantine)) {
			// A copy of the same decision is known. The crash needs no other explanation.
			this.ledger.forget(key);
			return;
		}

		this.logQuarantine(quarantine, source);
		const isOwn = source === 'own';
		void this.announceAfterDelay(quarantine, now, isOwn ? 0 : this.drawDelay(announcementDelayMs));
		this.store(quarantine, isOwn ? 0 : this.drawDelay(storeDelayMs));
	}

	private async announceAfterDelay(quarantine: Quarantine<RequestKey>, decidedAt: MonotonicMs, delayMs: number): Promise<void> {
		const {key, endsAt} = quarantine;
		await this.options.clock.sleep(delayMs);
		const isCurrent = this.register.read(key)?.endsAt === endsAt;
		if (isCurrent && (this.announced.get(key) ?? Number.NEGATIVE_INFINITY) < decidedAt) {
			this.announced.set(key, decidedAt);
			this.exchange.announce({type: 'quarantine', quarantine, decidedAt});
		}
	}

	private store(quarantine: Quarantine<RequestKey>, delayMs: number): void {
		if (this.register.list().length > maximumStoredQuarantines) {
			this.options.logger.warn('quarantine not stored', {key: quarantine.key, reason: 'too many requests are quarantined'});
			return;
		}

		void this.records.store(quarantine, delayMs);
	}

	/** Takes over a quarantine that another instance decided on. Returns whether it was new. */
	private adopt(quarantine: Quarantine<RequestKey>, source: Source, now: MonotonicMs): boolean {
		const isNew = this.register.add(quarantine);
		if (isNew && isActive(quarantine, now)) {
			this.logQuarantine(quarantine, source);
		}

		return isNew;
	}

	private lift(key: RequestKey, reason: string): boolean {
		const isLifted = this.register.lift(key) !== undefined;
		if (isLifted) {
			this.options.logger.warn('request quarantine lifted', {request: key, reason});
		}

		return isLifted;
	}

	private logCrash({target, startedAt, crashedAt, requests}: RequestCrash, source: Source, now: MonotonicMs): void {
		const isCulprit = (key: RequestKey) => this.isCulprit(key);
		this.options.logger.info('target crash recorded', {
			target, startedAt, source, agoMs: Math.round(now - crashedAt), requests: requests.length,
			suspects: requests.slice(0, 4).map(({key}) => `${key}:${this.ledger.countCrashes(key, isCulprit, now)}`).join(','),
		});
	}

	private logQuarantine({key, crashes, durationMs}: Quarantine<RequestKey>, source: Source): void {
		this.options.logger.warn('request quarantined', {
			request: key, crashes, durationMs, source,
		});
	}

	private drawDelay({shortest, longest}: {readonly shortest: number; readonly longest: number}): number {
		return shortest + ((longest - shortest) * this.options.random.pickIndex(randomSteps) / randomSteps);
	}
}
