/**
 * Writes statuses to the object API at a bounded rate, so that a change of all resources at once
 * does not use up the writes that operators and leases need.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {ResourceVersion} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {ObjectApiError, type ObjectApi} from '../../store/object-api/index.js';
import type {ConfigurationMetrics} from '../configuration-metrics/index.js';
import {
	statusCollection, summaryName, type ResourceStatus, type SummaryStatus,
} from '../resource-status/index.js';

/** 8 writes each 80 ms are 100 a second, a quarter of what the store takes. */
const writesPerRound = 8;
const roundMs = 80;
const pauseAfterFailureMs = 500;

type Status = ResourceStatus | SummaryStatus;
type Stored = {readonly version: ResourceVersion; readonly text: string};

/** What the writer needs. */
export type StatusWriterOptions = {
	readonly objectApi: ObjectApi;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly metrics: ConfigurationMetrics;
};

/** Writer of the collection `statuses`. */
export class StatusWriter {
	private readonly stored = new Map<string, Stored>();
	private readonly wanted = new Map<string, string>();
	private readonly statuses = new Map<string, ResourceStatus>();
	private pendingNames = new Set<string>();

	constructor(private readonly options: StatusWriterOptions) {}

	/** Statuses last wanted or, before that, stored by an earlier acceptor. */
	get current(): ReadonlyMap<string, ResourceStatus> {
		return this.statuses;
	}

	/** Number of statuses that are still to be written. */
	get pending(): number {
		return this.pendingNames.size;
	}

	/** Reads what earlier acceptors have written. */
	async load(): Promise<void> {
		const {items} = await this.options.objectApi.list<Status>(statusCollection);
		this.stored.clear();
		for (const object of items) {
			this.stored.set(object.name, {version: object.resourceVersion, text: JSON.stringify(object.value)});
			if (object.name !== summaryName && !this.statuses.has(object.name)) {
				this.statuses.set(object.name, object.value as ResourceStatus);
			}
		}
	}

	/** Sets what is to be stored; statuses of other names are deleted. */
	replace(statuses: ReadonlyMap<string, ResourceStatus>, summary: SummaryStatus): void {
		this.wanted.clear();
		this.statuses.clear();
		this.wanted.set(summaryName, JSON.stringify(summary));
		for (const [name, status] of statuses) {
			this.wanted.set(name, JSON.stringify(status));
			this.statuses.set(name, status);
		}

		this.pendingNames = new Set(this.listPending());
	}

	/** Writes what differs until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, logger} = this.options;
		while (!signal.aborted) {
			let pauseMs = roundMs;
			try {
				await this.writeRound();
			} catch (error) {
				logger.warn('status not written', {reason: (error as Error).message});
				pauseMs = pauseAfterFailureMs;
			}

			await clock.sleep(pauseMs, signal);
		}
	}

	private listPending(): string[] {
		const changed = [...this.wanted].filter(([name, text]) => this.stored.get(name)?.text !== text).map(([name]) => name);
		return [...changed, ...[...this.stored.keys()].filter(name => !this.wanted.has(name))];
	}

	private async writeRound(): Promise<void> {
		const names = [...this.pendingNames].slice(0, writesPerRound);
		await Promise.all(names.map(async name => this.write(name)));
	}

	private setStored(name: string, stored: Stored | undefined): void {
		if (stored === undefined) {
			this.stored.delete(name);
		} else {
			this.stored.set(name, stored);
		}

		if (this.wanted.get(name) === stored?.text) {
			this.pendingNames.delete(name);
		}
	}

	private async write(name: string): Promise<void> {
		const {objectApi, metrics} = this.options;
		const text = this.wanted.get(name);
		const stored = this.stored.get(name);
		metrics.statusWrites.inc();
		try {
			if (text === undefined) {
				await objectApi.remove(statusCollection, name, stored?.version);
				this.setStored(name, undefined);
				return;
			}

			const value = JSON.parse(text) as Status;
			const object = stored === undefined
				? await objectApi.create(statusCollection, name, value)
				: await objectApi.update(statusCollection, name, value, stored.version);
			this.setStored(name, {version: object.resourceVersion, text});
		} catch (error) {
			if (error instanceof ObjectApiError && ['conflict', 'notFound', 'unknownOutcome'].includes(error.failure)) {
				await this.readBack(name);
				return;
			}

			throw error;
		}
	}

	/** Reads what is stored, so that the next round writes only what still differs. */
	private async readBack(name: string): Promise<void> {
		try {
			const object = await this.options.objectApi.get(statusCollection, name);
			this.setStored(name, {version: object.resourceVersion, text: JSON.stringify(object.value)});
		} catch (error) {
			if (!(error instanceof ObjectApiError) || error.failure !== 'notFound') {
				throw error;
			}

			this.setStored(name, undefined);
		}
	}
}
