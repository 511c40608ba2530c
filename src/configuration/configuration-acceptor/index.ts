/**
 * Validates the resources that operators write and accepts or refuses them all together.
 *
 * The compare-and-swap on the head makes it safe for two acceptors to run at the same time. Before
 * an acceptor replaces a head that another process wrote, it reads that head and then lists all
 * resources again. A new head is therefore never built from older resources than the head it replaces.
 */

import {setMaxListeners} from 'node:events';
import type {Clock} from '../../clock/clock/index.js';
import {Wakeup} from '../../clock/wakeup/index.js';
import type {MonotonicMs, Revision} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {MemberView} from '../../membership/member/index.js';
import {formatProblem, type ResourceProblem} from '../../names/resource-problem/index.js';
import type {ObjectApi, StoredObject} from '../../store/object-api/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {buildStatuses, buildSummary, type StatusInput} from '../build-statuses/index.js';
import {checkResources} from '../check-resources/index.js';
import type {ConfigurationData} from '../configuration/index.js';
import type {ConfigurationMetrics} from '../configuration-metrics/index.js';
import {HeadStore, type StoredHead} from '../head-store/index.js';
import {ResourceMirror} from '../resource-mirror/index.js';
import {StatusWriter} from '../status-writer/index.js';
import {withdrawKeys} from '../withdraw-keys/index.js';

/** Name of the lease that an instance must hold to accept configurations. */
export const acceptorLeaseName = 'configuration-acceptor';
/** Delay after a change, so that writes in quick succession are accepted together. */
const debounceMs = 30;
/** Minimum time between two head writes, so that a long series of changes does not use up the capacity of the store. */
const minimumHeadIntervalMs = 100;
const pollIntervalMs = 250;
const garbageCollectionIntervalMs = 300_000;
const maximumBackoffMs = 2000;
const jitterSteps = 1000;

/** Options of the acceptor. */
export type ConfigurationAcceptorOptions = {
	readonly objectApi: ObjectApi;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly metrics: ConfigurationMetrics;
	/** Identifies this process uniquely, by instance and incarnation. */
	readonly writer: string;
	/** Whether this process holds the acceptor lease. */
	readonly isLeader: () => boolean;
	readonly members: MemberView;
	readonly onStoreContact?: (now: MonotonicMs) => void;
};

/** State of one continuous period of holding the lease. */
type LeaseTerm = {
	readonly mirror: ResourceMirror;
	readonly store: HeadStore;
	readonly statuses: StatusWriter;
	/** Version of the head that had been read before the mirror was last refreshed. */
	refreshedForVersion?: string;
	/** Result of the last validation. */
	lastCheck?: {readonly objects: readonly StoredObject[]; readonly problems: readonly ResourceProblem[]; readonly revision: Revision | null};
	/** Revisions of the live instances that the statuses were last built from. */
	reportedRevisions: string;
	/** Problem count and first problem of the last refusal; empty after a valid configuration. */
	lastRefusal: string;
	acceptedAt: number;
	garbageCollectedAt: number;
};

/** Accepts configurations while it holds the lease. Call `run` only once. */
export class ConfigurationAcceptor {
	private readonly wakeup = new Wakeup();
	private term: LeaseTerm | undefined;

	constructor(private readonly options: ConfigurationAcceptorOptions) {}

	/** Accepts configurations whenever the lease is held, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.options.isLeader()) {
				await this.runTerm(signal);
			}

			await this.options.clock.sleep(pollIntervalMs, signal);
		}
	}

	/** Returns diagnostic state, without keys or key hashes. */
	dump(): unknown {
		const {term} = this;
		return term === undefined
			? {isLeader: false}
			: {
				isLeader: this.options.isLeader(),
				isSynced: term.mirror.isSynced,
				revision: term.lastCheck?.revision ?? null,
				resources: term.lastCheck?.objects.length ?? 0,
				problems: term.lastCheck?.problems.map(problem => formatProblem(problem)) ?? [],
				pendingStatuses: term.statuses.pending,
			};
	}

	private async runTerm(signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		// Each of the six watches and each sleeping task adds a listener, which may exceed the default limit.
		setMaxListeners(0, controller.signal);
		const stop = () => {
			controller.abort();
		};

		signal.addEventListener('abort', stop, {once: true});
		const term = this.createTerm();
		this.term = term;
		this.options.logger.info('acceptor started');
		const tasks = [term.mirror.run(controller.signal), term.statuses.run(controller.signal)];
		try {
			await this.acceptChanges(term, controller.signal);
		} finally {
			stop();
			signal.removeEventListener('abort', stop);
			await Promise.all(tasks);
			this.term = undefined;
			this.options.logger.info('acceptor stopped');
		}
	}

	private createTerm(): LeaseTerm {
		const {objectApi, clock, logger, random, metrics, writer, onStoreContact} = this.options;
		const mirror = new ResourceMirror({
			objectApi, clock, logger, random,
			onChange: () => {
				this.wakeup.notify();
			},
			onHeard: onStoreContact,
			onWatchReplaced(collection) {
				metrics.watchesReplaced.inc({collection});
			},
		});
		return {
			mirror,
			store: new HeadStore(objectApi, writer, metrics),
			statuses: new StatusWriter({
				objectApi, clock, logger, metrics,
			}),
			reportedRevisions: '',
			lastRefusal: '',
			acceptedAt: Number.NEGATIVE_INFINITY,
			garbageCollectedAt: clock.readMonotonic(),
		};
	}

	private async acceptChanges(term: LeaseTerm, signal: AbortSignal): Promise<void> {
		const {clock, isLeader} = this.options;
		let failures = 0;
		while (!signal.aborted && isLeader()) {
			const isWoken = await this.wakeup.wait(clock, pollIntervalMs, signal);
			try {
				if (isWoken && term.mirror.isSynced) {
					await clock.sleep(Math.max(debounceMs, term.acceptedAt + minimumHeadIntervalMs - clock.readMonotonic()), signal);
					await this.acceptOnce(term);
				}

				this.updateStatuses(term);
				await this.collectGarbage(term);
				failures = 0;
			} catch (error) {
				failures += 1;
				await this.backOff(error as Error, failures, signal);
			}
		}
	}

	private async acceptOnce(term: LeaseTerm): Promise<void> {
		const {mirror, store, statuses} = term;
		const {clock, isLeader, metrics} = this.options;
		if (term.lastCheck === undefined) {
			await statuses.load();
		}

		const storedHead = store.current ?? await store.load();
		await this.refreshMirror(term, storedHead);
		const objects = mirror.list();
		const {data, problems} = checkResources(objects);
		const nextData = problems.length === 0 ? data : storedHead.data && withdrawKeys(storedHead.data, objects);
		// Without resources there is nothing to serve, and a wiped store must not remove the configuration of the whole fleet.
		if (nextData === undefined || objects.length === 0) {
			this.recordCheck(term, objects, problems, storedHead.head?.revision ?? null);
			return;
		}

		const head = await store.advance(nextData, this.readHighestLiveRevision(), () => isLeader());
		if (head === undefined) {
			this.wakeup.notify();
			return;
		}

		term.acceptedAt = clock.readMonotonic();
		if (head.revision !== storedHead.head?.revision) {
			(problems.length === 0 ? metrics.accepted : metrics.withdrawalsOnly).inc();
			this.logAccepted(head.revision, head.parts.length, nextData, problems.length);
		}

		this.recordCheck(term, objects, problems, head.revision);
	}

	/** Lists the resources again, unless they were listed after the head to be replaced was read. */
	private async refreshMirror(term: LeaseTerm, storedHead: StoredHead): Promise<void> {
		const version = storedHead.version ?? 'absent';
		if (!term.store.isOwnWrite && term.refreshedForVersion !== version) {
			await term.mirror.refresh();
			term.refreshedForVersion = version;
		}
	}

	private recordCheck(term: LeaseTerm, objects: readonly StoredObject[], problems: readonly ResourceProblem[], revision: Revision | null): void {
		term.lastCheck = {objects, problems, revision};
		term.reportedRevisions = '';
		const [first] = problems;
		const refusal = first === undefined ? '' : `${problems.length} ${formatProblem(first)}`;
		if (first !== undefined && refusal !== term.lastRefusal) {
			this.options.metrics.refused.inc();
			this.options.logger.warn('configuration refused', {problems: problems.length, first: formatProblem(first)});
		}

		term.lastRefusal = refusal;
	}

	private updateStatuses(term: LeaseTerm): void {
		const {members, clock} = this.options;
		const inForce = members.listLive(clock.readMonotonic()).map(member => member.revision);
		const revisions = inForce.toSorted((a, b) => a - b).join(' ');
		if (term.lastCheck === undefined || revisions === term.reportedRevisions) {
			return;
		}

		term.reportedRevisions = revisions;
		const input: StatusInput = {...term.lastCheck, previous: term.statuses.current, inForce};
		term.statuses.replace(buildStatuses(input), buildSummary(input));
	}

	private async collectGarbage(term: LeaseTerm): Promise<void> {
		const now = this.options.clock.readMonotonic();
		if (now - term.garbageCollectedAt >= garbageCollectionIntervalMs) {
			term.garbageCollectedAt = now;
			await term.store.collectGarbage(now);
		}
	}

	/** Highest revision applied by any live instance. It exceeds the head's only if the stored head was lost or restored from an old backup. */
	private readHighestLiveRevision(): Revision {
		const {members, clock} = this.options;
		return Math.max(0, ...members.listLive(clock.readMonotonic()).map(member => member.revision)) as Revision;
	}

	private logAccepted(revision: Revision, partCount: number, data: ConfigurationData, problemCount: number): void {
		this.options.logger.info('configuration accepted', {
			revision, parts: partCount, organisations: data.organisations.length, targets: data.targets.length, isWithdrawalOnly: problemCount > 0,
		});
	}

	/** Logs `error` and waits with exponential backoff and full jitter. */
	private async backOff(error: Error, failures: number, signal: AbortSignal): Promise<void> {
		const {clock, logger, random} = this.options;
		logger.warn('configuration not accepted yet', {reason: error.message});
		const limitMs = Math.min(maximumBackoffMs, debounceMs * (2 ** failures));
		await clock.sleep(limitMs * (1 + random.pickIndex(jitterSteps)) / jitterSteps, signal);
		this.wakeup.notify();
	}
}
