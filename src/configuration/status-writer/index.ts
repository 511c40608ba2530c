/**
 * Writes statuses to the object API at a limited rate, so that a change of all resources at once
 * leaves enough write capacity for operators and leases.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {ResourceVersion} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {ObjectApiError, type ObjectApi} from '../../store/object-api/index.js';
import type {ConfigurationMetrics} from '../configuration-metrics/index.js';
import {
	statusCollection, summaryName, type ResourceStatus, type SummaryStatus,
} from '../resource-status/index.js';

/** 8 writes every 80 ms are 100 writes per second, a quarter of the store's write capacity. */
const writesPerRound = 8;
const roundIntervalMs = 80;
const retryDelayMs = 500;

type Status = ResourceStatus | SummaryStatus;
type StoredStatus = {readonly version: ResourceVersion; readonly json: string};

/** Dependencies of the writer. */
export type StatusWriterOptions = {
	readonly objectApi: ObjectApi;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly metrics: ConfigurationMetrics;
};

/** Keeps the collection `statuses` in line with the desired statuses. */
export class StatusWriter {
	private readonly storedByName = new Map<string, StoredStatus>();
	private readonly desiredJsonByName = new Map<string, string>();
	private readonly statusByName = new Map<string, ResourceStatus>();
	private pendingNames = new Set<string>();

	constructor(private readonly options: StatusWriterOptions) {}

	/** The last desired statuses or, before the first call of `replace`, those that an earlier acceptor stored. */
	get current(): ReadonlyMap<string, ResourceStatus> {
		return this.statusByName;
	}

	/** Number of statuses that still have to be written or deleted. */
	get pending(): number {
		return this.pendingNames.size;
	}

	/** Reads the statuses that earlier acceptors have stored. */
	async load(): Promise<void> {
		const {items} = await this.options.objectApi.list<Status>(statusCollection);
		this.storedByName.clear();
		for (const object of items) {
			this.storedByName.set(object.name, {version: object.resourceVersion, json: JSON.stringify(object.value)});
			if (object.name !== summaryName && !this.statusByName.has(object.name)) {
				this.statusByName.set(object.name, object.value as ResourceStatus);
			}
		}
	}

	/** Sets the desired statuses. Stored statuses of other names are deleted. */
	replace(statuses: ReadonlyMap<string, ResourceStatus>, summary: SummaryStatus): void {
		this.desiredJsonByName.clear();
		this.statusByName.clear();
		this.desiredJsonByName.set(summaryName, JSON.stringify(summary));
		for (const [name, status] of statuses) {
			this.desiredJsonByName.set(name, JSON.stringify(status));
			this.statusByName.set(name, status);
		}

		this.pendingNames = new Set(this.listPendingNames());
	}

	/** Writes statuses that differ from the stored ones until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, logger} = this.options;
		while (!signal.aborted) {
			let delayMs = roundIntervalMs;
			try {
				await this.writeRound();
			} catch (error) {
				logger.warn('status not written', {reason: (error as Error).message});
				delayMs = retryDelayMs;
			}

			await clock.sleep(delayMs, signal);
		}
	}

	private listPendingNames(): string[] {
		const changed = [...this.desiredJsonByName].filter(([name, json]) => this.storedByName.get(name)?.json !== json).map(([name]) => name);
		return [...changed, ...[...this.storedByName.keys()].filter(name => !this.desiredJsonByName.has(name))];
	}

	private async writeRound(): Promise<void> {
		const names = [...this.pendingNames].slice(0, writesPerRound);
		await Promise.all(names.map(async name => this.write(name)));
	}

	private setStored(name: string, stored: StoredStatus | undefined): void {
		if (stored === undefined) {
			this.storedByName.delete(name);
		} else {
			this.storedByName.set(name, stored);
		}

		if (this.desiredJsonByName.get(name) === stored?.json) {
			this.pendingNames.delete(name);
		}
	}

	private async write(name: string): Promise<void> {
		const {objectApi, metrics} = this.options;
		const json = this.desiredJsonByName.get(name);
		const stored = this.storedByName.get(name);
		metrics.statusWrites.inc();
		try {
			if (json === undefined) {
				await objectApi.remove(statusCollection, name, stored?.version);
				this.setStored(name, undefined);
				return;
			}

			const value = JSON.parse(json) as Status;
			const object = stored === undefined
				? await objectApi.create(statusCollection, name, value)
				: await objectApi.update(statusCollection, name, value, stored.version);
			this.setStored(name, {version: object.resourceVersion, json});
		} catch (error) {
			if (error instanceof ObjectApiError && ['conflict', 'notFound', 'unknownOutcome'].includes(error.failure)) {
				await this.readBack(name);
				return;
			}

			throw error;
		}
	}

	/** Reads the stored status, so that the next round writes it only if it still differs. */
	private async readBack(name: string): Promise<void> {
		try {
			const object = await this.options.objectApi.get(statusCollection, name);
			this.setStored(name, {version: object.resourceVersion, json: JSON.stringify(object.value)});
		} catch (error) {
			if (!(error instanceof ObjectApiError) || error.failure !== 'notFound') {
				throw error;
			}

			this.setStored(name, undefined);
		}
	}
}
