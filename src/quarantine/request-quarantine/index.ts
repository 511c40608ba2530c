/**
 * Keeps requests that crash the targets which run them away from all targets, on all instances.
 *
 * Each instance reports the crashes that it sees, and each decides for itself from all reports. The first quarantine is short.
 * After it, a single attempt in the whole fleet, the trial, tells a sound request that was only near the crashes from one
 * that causes them. The instance that wants to make it announces it and waits for objections. Three trials that fail keep a
 * request away for so long that no target sees a fourth.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetState} from '../../fleet/probe-target/index.js';
import type {RequestGuard, RequestKeyReader, RequestRejection} from '../../forwarding/request-guard/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import {CrashConfirmation} from '../crash-confirmation/index.js';
import type {CrashSource} from '../crash-evidence/index.js';
import {EvaluationDelay} from '../evaluation-delay/index.js';
import {QuarantineKeeper, type QuarantineOptions} from '../quarantine-keeper/index.js';
import {isActive} from '../quarantine-register/index.js';
import {RequestExchange} from '../request-exchange/index.js';
import type {RequestKey} from '../request-key/index.js';
import {RequestKind} from '../request-kind/index.js';
import {
	listRequestCalls, RequestLedger, type CrashedRequest, type RequestCrash, type RequestEvidence,
} from '../request-ledger/index.js';
import type {RequestNews} from '../request-messages/index.js';
import {trialIntervalMs} from '../trial-register/index.js';
import {TrialAnnouncer} from '../trial-announcer/index.js';

const maximumDumpedRequests = 50;
const maximumLoggedSuspects = 4;

/** Options of `RequestQuarantine`. */
export type RequestQuarantineOptions = QuarantineOptions & {
	readonly self: InstanceId;
	/** Finds out whether a target whose connection broke has ended. */
	readonly probe: (target: FleetTarget) => Promise<TargetState>;
};

/** Guard of whole requests of one instance. */
export class RequestQuarantine implements RequestGuard {
	/** Gauges for the metrics of the instance. */
	readonly gauges = {
		quarantined_requests: {help: 'Requests in quarantine.', read: () => this.keeper.register.countActive(this.options.clock.readMonotonic())},
		request_quarantine_rejections: {help: 'Calls rejected because their request is quarantined, since the start.', read: () => this.rejectedCalls},
		confirmed_target_crashes: {help: 'Crashes of targets that this instance has confirmed since the start.', read: () => this.confirmedCrashes},
	};

	private rejectedCalls = 0;
	private confirmedCrashes = 0;
	private isEvaluationDue = false;
	private readonly ledger = new RequestLedger();
	private readonly keeper: QuarantineKeeper<RequestKey>;
	private readonly exchange: RequestExchange;
	private readonly evaluation: EvaluationDelay;
	private readonly confirmation: CrashConfirmation<CrashedRequest>;
	private readonly trials: TrialAnnouncer<RequestKey>;

	constructor(private readonly options: RequestQuarantineOptions) {
		const {clock, logger, probe} = options;
		this.evaluation = new EvaluationDelay(clock);
		this.exchange = new RequestExchange({
			...options,
			onNews: (news, now) => {
				this.applyNews(news, now);
			},
		});
		this.confirmation = new CrashConfirmation({
			clock, probe,
			onCrash: ({calls, ...crash}) => {
				this.recordOwnCrash({...crash, requests: calls});
			},
		});
		this.keeper = new QuarantineKeeper({
			...options, kind: new RequestKind(logger), evidence: this.ledger,
			announce: notice => {
				this.exchange.announce({type: 'quarantine', ...notice});
			},
		});
		this.trials = new TrialAnnouncer({
			...options,
			isOnProbation: (key, now) => this.keeper.register.isOnProbation(key, now),
			announce: (key, trial) => {
				this.exchange.announce({type: 'trial', key, ...trial});
			},
			logOutcome(key, outcome) {
				logger.info('request trial', {request: key, outcome});
			},
		});
	}

	/** Removes quarantines whose probation has ended, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await this.keeper.run(signal);
	}

	/** Takes over the stored quarantines. */
	replaceStored(objects: readonly StoredObject[], version: string | undefined): void {
		this.keeper.replaceStored(objects, version);
	}

	findRejection(readKey: RequestKeyReader, now: MonotonicMs): RequestRejection | undefined {
		const {register} = this.keeper;
		const quarantine = register.isEmpty ? undefined : register.read(readKey());
		if (quarantine === undefined) {
			return undefined;
		}

		this.rejectedCalls += 1;
		return {request: quarantine.key, remainingMs: isActive(quarantine, now) ? quarantine.endsAt - now : trialIntervalMs};
	}

	async beginTrial(readKey: RequestKeyReader): Promise<boolean> {
		return !this.keeper.register.isEmpty && this.trials.begin(readKey());
	}

	/** Quarantines the request again for longer if its trial has not led to a complete answer in time. */
	recordTrialSent(readKey: RequestKeyReader): void {
		void this.judgeTrial(readKey());
	}

	isSuspicious(readKey: RequestKeyReader, now: MonotonicMs): boolean {
		if (this.isEmpty) {
			return false;
		}

		const key = readKey();
		return this.keeper.isCulprit(key) || this.ledger.isSuspicious(key, this.keeper.isCulprit, now);
	}

	recordBrokenConnection(readKey: RequestKeyReader, target: FleetTarget, sentAt: MonotonicMs, now: MonotonicMs): void {
		this.confirmation.add({key: readKey(), sentAt}, target, now);
	}

	recordCompleteAnswer(readKey: RequestKeyReader, now: MonotonicMs): void {
		if (this.isEmpty) {
			return;
		}

		const key = readKey();
		const isCleared = this.ledger.recordCompletion(key, now);
		const isLifted = this.keeper.lift(key, 'completed');
		if (isCleared || isLifted) {
			this.options.logger.info('request cleared', {request: key, reason: 'completed'});
			this.exchange.announce({type: 'clearance', key, completedAt: now});
		}

		if (isLifted) {
			this.keeper.removeStored(key);
		}
	}

	dump() {
		const now = this.options.clock.readMonotonic();
		return {
			quarantined: this.keeper.listDumped(now).map(({key, ...quarantine}) => ({request: key, ...quarantine})),
			suspected: this.ledger.listEvidence(this.keeper.isCulprit, now).slice(0, maximumDumpedRequests),
			rejectedCalls: this.rejectedCalls,
		};
	}

	/** Whether there is nothing to compare a request with, so that its key need not be calculated. */
	private get isEmpty(): boolean {
		return this.ledger.isEmpty && this.keeper.register.isEmpty;
	}

	private async judgeTrial(key: RequestKey): Promise<void> {
		const {clock} = this.options;
		await clock.sleep(trialIntervalMs);
		const now = clock.readMonotonic();
		if (this.keeper.register.isOnProbation(key, now)) {
			this.quarantine({key, crashes: 0, sequentialCrashes: 0}, 'own', now);
		}
	}

	private applyNews(news: RequestNews, now: MonotonicMs): void {
		switch (news.type) {
			case 'crash': {
				this.options.onPeerCrash?.(news.crash);
				this.addCrash(news.crash, 'peer', now);
				break;
			}

			case 'clearance': {
				this.ledger.recordCompletion(news.key, news.completedAt);
				this.keeper.applyCompletion(news.key, news.completedAt);
				break;
			}

			case 'quarantine': {
				this.keeper.applyNotice(news, now);
				break;
			}

			case 'trial': {
				this.trials.record(news.key, {instance: news.instance, announcedAt: news.announcedAt});
				break;
			}
		}
	}

	private recordOwnCrash(crash: RequestCrash): void {
		const now = this.options.clock.readMonotonic();
		this.confirmedCrashes += 1;
		this.evaluation.recordOwnCrash(now);
		this.exchange.announceCrash(crash);
		this.addCrash(crash, 'own', now);
	}

	private addCrash(crash: RequestCrash, source: CrashSource, now: MonotonicMs): void {
		const isNew = this.ledger.recordCrash(crash, now);
		if (isNew || source === 'own') {
			this.logCrash(crash, source, now);
		}

		this.keeper.renewAfterProbation(listRequestCalls(crash), crash.crashedAt, source, now);
		if (!this.isEvaluationDue) {
			this.isEvaluationDue = true;
			void this.evaluateAfterDelay();
		}
	}

	/** Quarantines the culprits, after a time in which other instances report what they saw of the same crash. */
	private async evaluateAfterDelay(): Promise<void> {
		const {now, source} = await this.evaluation.wait();
		this.isEvaluationDue = false;
		// A culprit that has just been found explains crashes which would speak against others.
		for (;;) {
			const culprits = this.ledger.findCulprits(this.keeper.isCulprit, now);
			if (culprits.length === 0) {
				return;
			}

			for (const culprit of culprits) {
				this.quarantine(culprit, source, now);
			}
		}
	}

	private quarantine(evidence: RequestEvidence, source: CrashSource, now: MonotonicMs): void {
		if (!this.keeper.quarantine(evidence, source, now)) {
			// It was lifted a short time ago. The same crashes would be found again at once.
			this.ledger.forget(evidence.key);
		}
	}

	private logCrash({target, startedAt, crashedAt, requests}: RequestCrash, source: CrashSource, now: MonotonicMs): void {
		const suspects = requests.slice(0, maximumLoggedSuspects).map(({key}) => `${key}:${this.ledger.countCrashes(key, this.keeper.isCulprit, now)}`);
		this.options.logger.info('target crash recorded', {
			target, startedAt, source, agoMs: Math.round(now - crashedAt), requests: requests.length, suspects: suspects.join(','),
		});
	}
}
