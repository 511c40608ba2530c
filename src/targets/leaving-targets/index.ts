/** Tracks which targets are leaving, according to the platform's instance list and their own responses. */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceList} from '../../store/instance-list/index.js';

/** Response header by which a target announces that it is leaving. */
export const leavingHeader = 'x-target-leaving';

const listPollIntervalMs = 500;
/** Time for which a target's own announcement counts. A service has no state to poll that could revoke it. */
const markLifetimeMs = 600_000;

/** Addresses of leaving targets. */
export class LeavingTargets {
	private listedAddresses: ReadonlySet<string> = new Set();
	private readonly markedAt = new Map<string, number>();
	private readonly controller = new AbortController();

	constructor(private readonly clock: Clock, private readonly instanceList?: InstanceList) {}

	/** Polls the instance list until `stop`. */
	start(): void {
		if (this.instanceList !== undefined) {
			void this.followList(this.instanceList);
		}
	}

	stop(): void {
		this.controller.abort();
	}

	/** Marks the target at `address` as leaving, after it announced this in a response. */
	mark(address: string): void {
		this.markedAt.set(address, this.clock.readMonotonic());
	}

	/** Removes the mark of the target at `address`, for example when another process responds there. */
	clear(address: string): void {
		this.markedAt.delete(address);
	}

	/** Whether the target at `address` must not get new requests. */
	has(address: string): boolean {
		const markedAt = this.markedAt.get(address) ?? Number.NEGATIVE_INFINITY;
		return this.listedAddresses.has(address) || this.clock.readMonotonic() - markedAt < markLifetimeMs;
	}

	dump(): unknown {
		return {listed: [...this.listedAddresses], marked: [...this.markedAt.keys()]};
	}

	private async followList(instanceList: InstanceList): Promise<void> {
		const {signal} = this.controller;
		while (!signal.aborted) {
			try {
				const items = await instanceList.read();
				this.listedAddresses = new Set(items.filter(item => item.role === 'target' && item.state === 'leaving').map(item => item.address));
			} catch {
				// The last list read remains in use while the list is unavailable.
			}

			await this.clock.sleep(listPollIntervalMs, signal);
		}
	}
}
