/**
 * Accepts or refuses the resources that operators write, as one whole.
 *
 * The compare-and-swap on the head keeps this safe even if two acceptors run: whoever replaces a
 * head that it did not write itself first reads all resources anew, after it has read that head.
 * Hence a new head never rests on resources that are older than those of the head it replaces.
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
import {HeadStore, type HeadBasis} from '../head-store/index.js';
import {ResourceMirror} from '../resource-mirror/index.js';
import {StatusWriter} from '../status-writer/index.js';
import {withdrawKeys} from '../withdraw-keys/index.js';

/** Name of the lease under which one instance accepts. */
export const acceptorLeaseName = 'configuration-acceptor';
/** Writes that follow each other within this time are accepted together. */
const debounceMs = 30;
/** Least time between two heads, so that a long series of writes leaves the store room for others. */
const leastIntervalMs = 100;
const tickMs = 250;
const garbageIntervalMs = 300_000;
const longestPauseMs = 2000;
const jitterSteps = 1000;

/** What the acceptor needs. */
export type ConfigurationAcceptorOptions = {
	readonly objectApi: ObjectApi;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly metrics: ConfigurationMetrics;
	/** Unique to this process: instance and incarnation. */
	readonly writer: string;
	/** Whether the lease is held now. */
	readonly isLeader: () => boolean;
	readonly members: MemberView;
	readonly onStoreHeard?: (now: MonotonicMs) => void;
};

type Term = {
	readonly mirror: ResourceMirror;
	readonly store: HeadStore;
	readonly statuses: StatusWriter;
	/** Version of the head after whose reading the mirror was read anew. */
	refreshedFor?: string;
	/** Outcome of the last check. */
	checked?: {readonly objects: readonly StoredObject[]; readonly problems: readonly ResourceProblem[]; readonly revision: Revision | null};
	shownInForce: string;
	lastProblem: string;
	acceptedAt: number;
	garbageAt: number;
};

/** Accepts configurations while its lease is held. One task runs `run`. */
export class ConfigurationAcceptor {
	private readonly wakeup = new Wakeup();
	private term: Term | undefined;

	constructor(private readonly options: ConfigurationAcceptorOptions) {}

	/** Waits for the lease and accepts while it is held, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			if (this.options.isLeader()) {
				await this.runTerm(signal);
			}

			await this.options.clock.sleep(tickMs, signal);
		}
	}

	/** State for people; without keys and hashes of keys. */
	dump(): unknown {
		const {term} = this;
		return term === undefined
			? {isLeader: false}
			: {
				isLeader: this.options.isLeader(),
				isSynced: term.mirror.isSynced,
				revision: term.checked?.revision ?? null,
				resources: term.checked?.objects.length ?? 0,
				problems: term.checked?.problems.map(problem => formatProblem(problem)) ?? [],
				pendingStatuses: term.statuses.pending,
			};
	}

	private async runTerm(signal: AbortSignal): Promise<void> {
		const controller = new AbortController();
		// Each of the six watches and each sleeping task listens.
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

	private createTerm(): Term {
		const {objectApi, clock, logger, random, metrics, writer, onStoreHeard} = this.options;
		const mirror = new ResourceMirror({
			objectApi, clock, logger, random,
			onChange: () => {
				this.wakeup.notify();
			},
			onHeard: onStoreHeard,
			onReplaced(collection) {
				metrics.watchesReplaced.inc({collection});
			},
		});
		return {
			mirror,
			store: new HeadStore(objectApi, writer, metrics),
			statuses: new StatusWriter({
				objectApi, clock, logger, metrics,
			}),
			shownInForce: '',
			lastProblem: '',
			acceptedAt: Number.NEGATIVE_INFINITY,
			garbageAt: clock.readMonotonic(),
		};
	}

	private async acceptChanges(term: Term, signal: AbortSignal): Promise<void> {
		const {clock, isLeader} = this.options;
		let failures = 0;
		while (!signal.aborted && isLeader()) {
			const isWoken = await this.wakeup.wait(clock, tickMs, signal);
			try {
				if (isWoken && term.mirror.isSynced) {
					await clock.sleep(Math.max(debounceMs, term.acceptedAt + leastIntervalMs - clock.readMonotonic()), signal);
					await this.acceptOnce(term);
				}

				this.showStatuses(term);
				await this.collectGarbage(term);
				failures = 0;
			} catch (error) {
				failures += 1;
				await this.pause(error as Error, failures, signal);
			}
		}
	}

	private async acceptOnce(term: Term): Promise<void> {
		const {mirror, store, statuses} = term;
		const {clock, isLeader, metrics} = this.options;
		if (term.checked === undefined) {
			await statuses.load();
		}

		const basis = store.basis ?? await store.load();
		await this.refreshMirror(term, basis);
		const objects = mirror.list();
		const {data, problems} = checkResources(objects);
		const wanted = problems.length === 0 ? data : basis.data && withdrawKeys(basis.data, objects);
		// Without any resource there is nothing to serve; a store that was wiped must not empty the fleet.
		if (wanted === undefined || objects.length === 0) {
			this.setChecked(term, objects, problems, basis.head?.revision ?? null);
			return;
		}

		const head = await store.advance(wanted, this.readKnownRevision(), () => isLeader());
		if (head === undefined) {
			this.wakeup.notify();
			return;
		}

		term.acceptedAt = clock.readMonotonic();
		if (head.revision !== basis.head?.revision) {
			(problems.length === 0 ? metrics.accepted : metrics.withdrawalsOnly).inc();
			this.logAccepted(head.revision, head.parts.length, wanted, problems.length);
		}

		this.setChecked(term, objects, problems, head.revision);
	}

	/** Reads the resources anew unless they were read after the head that is to be replaced. */
	private async refreshMirror(term: Term, basis: HeadBasis): Promise<void> {
		const key = basis.version ?? 'absent';
		if (!term.store.isOwn && term.refreshedFor !== key) {
			await term.mirror.refresh();
			term.refreshedFor = key;
		}
	}

	private setChecked(term: Term, objects: readonly StoredObject[], problems: readonly ResourceProblem[], revision: Revision | null): void {
		term.checked = {objects, problems, revision};
		term.shownInForce = '';
		const [first] = problems;
		const lastProblem = first === undefined ? '' : `${problems.length} ${formatProblem(first)}`;
		if (first !== undefined && lastProblem !== term.lastProblem) {
			this.options.metrics.refused.inc();
			this.options.logger.warn('configuration refused', {problems: problems.length, first: formatProblem(first)});
		}

		term.lastProblem = lastProblem;
	}

	private showStatuses(term: Term): void {
		const {members, clock} = this.options;
		const inForce = members.listLive(clock.readMonotonic()).map(member => member.revision);
		const shown = inForce.toSorted((a, b) => a - b).join(' ');
		if (term.checked === undefined || shown === term.shownInForce) {
			return;
		}

		term.shownInForce = shown;
		const input: StatusInput = {...term.checked, previous: term.statuses.current, inForce};
		term.statuses.replace(buildStatuses(input), buildSummary(input));
	}

	private async collectGarbage(term: Term): Promise<void> {
		const now = this.options.clock.readMonotonic();
		if (now - term.garbageAt >= garbageIntervalMs) {
			term.garbageAt = now;
			await term.store.collectGarbage(now);
		}
	}

	/** Highest revision in force anywhere; above the head's only if the stored head was lost or restored from an old copy. */
	private readKnownRevision(): Revision {
		const {members, clock} = this.options;
		return Math.max(0, ...members.listLive(clock.readMonotonic()).map(member => member.revision)) as Revision;
	}

	private logAccepted(revision: Revision, parts: number, data: ConfigurationData, problems: number): void {
		this.options.logger.info('configuration accepted', {
			revision, parts, organisations: data.organisations.length, targets: data.targets.length, isWithdrawalOnly: problems > 0,
		});
	}

	private async pause(error: Error, failures: number, signal: AbortSignal): Promise<void> {
		const {clock, logger, random} = this.options;
		logger.warn('configuration not accepted yet', {reason: error.message});
		const longest = Math.min(longestPauseMs, debounceMs * (2 ** failures));
		await clock.sleep(longest * (1 + random.pickIndex(jitterSteps)) / jitterSteps, signal);
		this.wakeup.notify();
	}
}
