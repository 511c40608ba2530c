/** Collection in which instances register, so that they find each other when no seed answers. */

import type {Clock} from '../../clock/clock/index.js';
import {Wakeup} from '../../clock/wakeup/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {InstanceList, ListedInstance} from '../../store/instance-list/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';

/** Options of the instance registry. */
export type InstanceRegistryOptions = {
	readonly objectApi: Pick<ObjectApi, 'create'>;
	readonly collection: string;
	readonly self: InstanceId;
	readonly peerAddress: string;
	readonly clock: Clock;
	readonly logger: EventLogger;
};

type RegistryEntry = {readonly peerAddress: string};

const retryIntervalMs = 1000;
/** Interval at which an instance registers again in any case, in milliseconds. */
const lossCheckIntervalMs = 3_600_000;

/** Registers this instance and lists the registered ones. */
export class InstanceRegistry implements InstanceList {
	private entries: readonly ListedInstance[] = [];
	private isListed = false;
	private readonly lost = new Wakeup();

	constructor(private readonly options: InstanceRegistryOptions) {}

	/** Number of registered instances, including stopped ones: entries are never removed. */
	get registeredInstanceCount(): number {
		return this.entries.length;
	}

	/** Replaces the entries with the current objects of the collection. */
	replace(objects: readonly StoredObject[]): void {
		const entries = objects as ReadonlyArray<StoredObject<RegistryEntry>>;
		this.entries = entries.map(({name, value}) => ({
			id: name, role: 'entry', address: value.peerAddress, state: 'live',
		}));
		const wasListed = this.isListed;
		this.isListed = this.entries.some(({id}) => id === this.options.self);
		if (wasListed && !this.isListed) {
			this.lost.notify();
		}
	}

	async read(): Promise<readonly ListedInstance[]> {
		return this.entries;
	}

	/** Registers this instance, and again whenever its entry was lost, until `signal` aborts. */
	async keepRegistered(signal: AbortSignal): Promise<void> {
		const {clock, logger, self} = this.options;
		while (!signal.aborted) {
			await this.register(signal);
			if (await this.lost.wait(clock, lossCheckIntervalMs, signal)) {
				logger.warn('entry of this instance lost by the object API', {entry: self});
			}
		}
	}

	/** Registers this instance; retries until it succeeds or `signal` aborts. An entry left by an earlier process counts as success. */
	async register(signal: AbortSignal): Promise<void> {
		const {objectApi, collection, self, peerAddress, clock, logger} = this.options;
		while (!signal.aborted) {
			try {
				await objectApi.create<RegistryEntry>(collection, self, {peerAddress});
				return;
			} catch (error) {
				if (error instanceof ObjectApiError && error.failure === 'conflict') {
					return;
				}

				logger.warn('instance not registered yet', {reason: (error as Error).message});
				await clock.sleep(retryIntervalMs, signal);
			}
		}
	}
}
