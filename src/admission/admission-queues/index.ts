/** The admission queues of one instance, one for each service. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {AdmissionQueue, type AdmissionQueueOptions} from '../admission-queue/index.js';
import {SharedBacklog} from '../shared-backlog/index.js';
import {QueueBounds, type AdmissionLimits} from '../queue-bounds/index.js';

/** Dependencies of the queues. */
export type AdmissionQueuesOptions = Omit<AdmissionQueueOptions, 'service' | 'bounds' | 'backlog'> & {
	readonly readLimits: () => AdmissionLimits;
};

/** Queues by service. */
export class AdmissionQueues {
	/** What waits here and at other instances. */
	readonly backlog = new SharedBacklog(() => [...this.queues.values()].flatMap(queue => queue.summariseWaiting()));
	private readonly queues = new Map<ServiceId, AdmissionQueue>();
	private readonly bounds: QueueBounds;

	constructor(private readonly options: AdmissionQueuesOptions) {
		this.bounds = new QueueBounds(options.readLimits);
	}

	/** Returns the queue of a service. */
	get(service: ServiceId): AdmissionQueue {
		const queue = this.queues.get(service) ?? new AdmissionQueue({
			...this.options, service, bounds: this.bounds, backlog: this.backlog,
		});
		this.queues.set(service, queue);
		return queue;
	}

	/** Serves the queue of a service, because a call has ended at one of its targets. */
	wake(service: ServiceId): void {
		this.queues.get(service)?.wake();
	}

	/** Counts the waiting calls of all services by priority. */
	countByPriority(): Map<number, number> {
		const counts = new Map<number, number>();
		for (const queue of this.queues.values()) {
			for (const [priority, count] of queue.countByPriority()) {
				counts.set(priority, (counts.get(priority) ?? 0) + count);
			}
		}

		return counts;
	}

	/** Describes the queues in which calls wait. */
	dump(): unknown {
		const waiting = [...this.queues].filter(([, queue]) => queue.length > 0);
		return Object.fromEntries(waiting.map(([service, queue]) => [service, Object.fromEntries(queue.countByPriority())]));
	}
}
