/** The collection in which instances enter themselves, so that they find each other when no seed answers. */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {InstanceList, ListedInstance} from '../../store/instance-list/index.js';
import {ObjectApiError, type ObjectApi} from '../../store/object-api/index.js';

/** What the registry needs. */
export type InstanceRegistryOptions = {
	readonly objectApi: Pick<ObjectApi, 'list' | 'create'>;
	readonly collection: string;
	readonly self: InstanceId;
	readonly peerAddress: string;
	readonly clock: Clock;
	readonly logger: EventLogger;
};

type RegistryEntry = {readonly peerAddress: string};

const retryMs = 1000;

/** Client of the registry. */
export class InstanceRegistry implements InstanceList {
	/** Entries at the last reading; instances that are gone stay entered. */
	registeredInstances = 0;

	constructor(private readonly options: InstanceRegistryOptions) {}

	async read(): Promise<readonly ListedInstance[]> {
		const {items} = await this.options.objectApi.list<RegistryEntry>(this.options.collection);
		this.registeredInstances = items.length;
		return items.map(({name, value}) => ({
			id: name, role: 'entry', address: value.peerAddress, state: 'live',
		}));
	}

	/** Enters this instance; repeats that until it has worked or `signal` aborts. */
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
				await clock.sleep(retryMs, signal);
			}
		}
	}
}
