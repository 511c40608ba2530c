/** Keeps prompts with a part that crashes engines away from them, on all instances. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {EngineWork} from '../../forwarding/call-types/index.js';
import type {PromptGuard, PromptRejection} from '../../forwarding/prompt-guard/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {StoredObject} from '../../store/object-api/index.js';
import {CrashConfirmation} from '../crash-confirmation/index.js';
import type {CrashSource} from '../crash-evidence/index.js';
import {
	CrashLedger, listPromptCalls, type CrashedPrompt, type CrashReport,
} from '../crash-ledger/index.js';
import {EvaluationDelay} from '../evaluation-delay/index.js';
import {PartClearances} from '../part-clearances/index.js';
import {listSharedPartKeys, type PartKey} from '../part-key/index.js';
import {PartKind} from '../part-kind/index.js';
import type {TargetProbe} from '../share-probes/index.js';
import {QuarantineExchange} from '../quarantine-exchange/index.js';
import {QuarantineKeeper, type QuarantineOptions} from '../quarantine-keeper/index.js';
import {SuspectedParts} from '../suspected-parts/index.js';
import {TrialAnnouncer} from '../trial-announcer/index.js';
import type {Clearance, QuarantineNews} from '../quarantine-messages/index.js';

/** Time after which callers whose calls wait for the trial of another call may come back, in milliseconds. */
const probationRetryMs = 2000;
const maximumLoggedParts = 6;
const maximumDumpedParts = 50;

/** Options of `PromptQuarantine`. */
export type PromptQuarantineOptions = QuarantineOptions & {
	readonly self: InstanceId;
	/** Finds out whether a target whose connection broke before an answer has ended. */
	readonly probe: TargetProbe;
};

/** Guard of prompts of one instance. */
export class PromptQuarantine implements PromptGuard {
	/** Gauges for the metrics of the instance. */
	readonly gauges = {
		quarantined_parts: {help: 'Prompt parts in quarantine.', read: () => this.keeper.register.countActive(this.options.clock.readMonotonic())},
		quarantine_rejections: {help: 'Calls rejected for a quarantined prompt part since the start.', read: () => this.rejectedCalls},
	};

	private rejectedCalls = 0;
	private readonly ledger = new CrashLedger();
	private readonly keeper: QuarantineKeeper<PartKey>;
	private readonly exchange: QuarantineExchange;
	private readonly evaluation: EvaluationDelay;
	private readonly clearances: PartClearances;
	private readonly confirmation: CrashConfirmation<CrashedPrompt>;
	private readonly suspects: SuspectedParts;
	private readonly trials: TrialAnnouncer<PartKey>;

	constructor(private readonly options: PromptQuarantineOptions) {
		const {clock, logger, probe} = options;
		this.evaluation = new EvaluationDelay(clock);
		this.exchange = new QuarantineExchange({
			...options,
			onNews: (news, now) => {
				this.applyNews(news, now);
			},
		});
		this.keeper = new QuarantineKeeper({
			...options, kind: new PartKind(clock, logger), evidence: this.ledger,
			announce: notice => {
				this.exchange.announce({type: 'quarantine', notice});
			},
		});
		this.confirmation = new CrashConfirmation({
			clock, probe,
			onCrash: ({calls, ...crash}) => {
				this.recordOwnCrash({...crash, prompts: calls});
			},
		});
		this.suspects = new SuspectedParts(now => this.ledger.findSuspects(this.keeper.isCulprit, now), logger);
		this.trials = new TrialAnnouncer({
			...options,
			isOnProbation: (part, now) => this.isOnProbation(part, now),
			announce: (part, trial) => {
				this.exchange.announce({type: 'trial', part, ...trial});
			},
			logOutcome(part, outcome) {
				logger.info('prompt part trial', {part, outcome});
			},
		});
		this.clearances = new PartClearances({
			...options,
			readCompletedAt: part => this.ledger.readCompletedAt(part),
			announce: clearances => {
				this.exchange.announce({type: 'clearance', clearances});
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

	findRejection(work: EngineWork, hasTrial: boolean, now: MonotonicMs): PromptRejection | undefined {
		const quarantine = this.keeper.register.findActive(listSharedPartKeys(work), now);
		const partOnProbation = hasTrial ? undefined : this.findOnProbation(work, now);
		const part = quarantine?.key ?? partOnProbation;
		if (part === undefined) {
			return undefined;
		}

		this.rejectedCalls += 1;
		return {part, remainingMs: quarantine === undefined ? probationRetryMs : quarantine.endsAt - now};
	}

	async beginTrial(work: EngineWork): Promise<boolean> {
		const part = this.findOnProbation(work, this.options.clock.readMonotonic());
		return part !== undefined && this.trials.begin(part);
	}

	isSuspicious(work: EngineWork, now: MonotonicMs): boolean {
		return this.ledger.isSuspicious(listSharedPartKeys(work), this.keeper.isCulprit, now);
	}

	recordBrokenAnswer(work: EngineWork, {description}: FleetTarget, sentAt: MonotonicMs, now: MonotonicMs): void {
		const parts = listSharedPartKeys(work);
		if (parts.length > 0) {
			this.recordOwnCrash({
				target: description.id, startedAt: description.startedAt, crashedAt: now, prompts: [{parts, sentAt}],
			});
		}
	}

	recordBrokenConnection(work: EngineWork, target: FleetTarget, sentAt: MonotonicMs, now: MonotonicMs): void {
		const parts = listSharedPartKeys(work);
		if (parts.length > 0) {
			this.confirmation.add({parts, sentAt}, target, now);
		}
	}

	recordCompleteAnswer(work: EngineWork, now: MonotonicMs): void {
		const parts = listSharedPartKeys(work);
		const lifted = parts.filter(part => this.keeper.lift(part, 'completed'));
		this.suspects.clear(parts);
		const cleared = [...new Set([...this.ledger.recordCompletion(parts, now), ...lifted])];
		if (cleared.length > 0) {
			this.options.logger.info('prompt parts cleared', {parts: formatParts(cleared), reason: 'completed'});
			this.clearances.schedule(cleared, now);
		}

		for (const part of lifted) {
			this.keeper.removeStored(part);
		}
	}

	dump() {
		const now = this.options.clock.readMonotonic();
		return {
			quarantined: this.keeper.listDumped(now).map(({key, ...quarantine}) => ({part: key, ...quarantine})),
			onProbation: this.suspects.list(now),
			suspected: this.ledger.listEvidence(this.keeper.isCulprit, now).slice(0, maximumDumpedParts),
			rejectedCalls: this.rejectedCalls,
		};
	}

	/** Finds the deepest part on probation, which the fewest calls share. */
	private findOnProbation(work: EngineWork, now: MonotonicMs): PartKey | undefined {
		if (this.keeper.register.isEmpty && this.suspects.isEmpty) {
			return undefined;
		}

		return listSharedPartKeys(work).findLast(part => this.isOnProbation(part, now));
	}

	/** Whether the quarantine of a part has ended, or crashes at one instant make it suspect. */
	private isOnProbation(part: PartKey, now: MonotonicMs): boolean {
		return this.keeper.register.isOnProbation(part, now) || this.suspects.has(part, now);
	}

	private applyNews(news: QuarantineNews, now: MonotonicMs): void {
		switch (news.type) {
			case 'crash': {
				this.options.onPeerCrash?.(news.crash);
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
				this.keeper.applyNotice(news.notice, now);
				break;
			}

			case 'trial': {
				this.trials.record(news.part, {instance: news.instance, announcedAt: news.announcedAt});
				break;
			}
		}
	}

	private applyClearance({part, completedAt}: Clearance, now: MonotonicMs): void {
		this.clearances.record(part, now);
		this.ledger.recordCompletion([part], completedAt);
		this.suspects.update(now);
		this.keeper.applyCompletion(part, completedAt);
	}

	private recordOwnCrash(crash: CrashReport): void {
		this.exchange.announceCrash(crash);
		this.addCrash(crash, 'own', this.options.clock.readMonotonic());
	}

	private addCrash(crash: CrashReport, source: CrashSource, now: MonotonicMs): void {
		if (source === 'own') {
			this.evaluation.recordOwnCrash(now);
		}

		if (this.ledger.recordCrash(crash, now)) {
			void this.evaluateAfterDelay();
			this.logCrash(crash, source, now);
		}

		void this.clearances.confirmProven(listParts(crash), now);
		this.keeper.renewAfterProbation(listPromptCalls(crash), crash.crashedAt, source, now);
	}

	/** Quarantines the culprits, after a time in which other instances report what they saw of the same crash. */
	private async evaluateAfterDelay(): Promise<void> {
		const {now, source} = await this.evaluation.wait();
		for (const {part, crashes, sequentialCrashes} of this.ledger.findCulprits(this.keeper.isCulprit, now)) {
			this.keeper.quarantine({key: part, crashes, sequentialCrashes}, source, now);
		}

		this.suspects.update(now);
	}

	private logCrash(crash: CrashReport, source: CrashSource, now: MonotonicMs): void {
		const {target, startedAt, crashedAt, prompts} = crash;
		const parts = new Set(listParts(crash));
		const suspects = this.ledger.listEvidence(this.keeper.isCulprit, now).filter(({part}) => parts.has(part));
		this.options.logger.info('engine crash recorded', {
			target, startedAt, source, agoMs: Math.round(now - crashedAt), prompts: prompts.length,
			parts: formatParts(suspects.map(({part, crashes, sequentialCrashes}) => `${part}:${crashes}:${sequentialCrashes}`)),
		});
	}
}

/** Lists the parts of the prompts of a crash, each once. */
function listParts({prompts}: CrashReport): PartKey[] {
	return [...new Set(prompts.flatMap(prompt => prompt.parts))];
}

/** Formats parts for a log line of bounded length. */
function formatParts(parts: readonly string[]): string {
	const omitted = parts.length - maximumLoggedParts;
	return parts.slice(0, maximumLoggedParts).join(',') + (omitted > 0 ? `,+${omitted}` : '');
}
