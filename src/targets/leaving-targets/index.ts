/** Targets that the platform's list or their own answers show as leaving. */

import type {Clock} from '../../clock/clock/index.js';
import type {InstanceList} from '../../store/instance-list/index.js';

/** Header by which a target says in any answer that it is leaving. */
export const leavingHeader = 'x-target-leaving';

const listIntervalMs = 500;
/** Time for which a target's own word counts, in milliseconds. A service has no state to poll that would take it back. */
const ownWordMs = 600_000;

/** Addresses of leaving targets. */
export class LeavingTargets {
	private listed: ReadonlySet<string> = new Set();
	private readonly markedAt = new Map<string, number>();
	private readonly controller = new AbortController();

	constructor(private readonly clock: Clock, private readonly instanceList?: InstanceList) {}

	/** Polls the list until `stop`. */
	start(): void {
		if (this.instanceList !== undefined) {
			void this.followList(this.instanceList);
		}
	}

	stop(): void {
		this.controller.abort();
	}

	/** Notes that the target at `address` said in an answer that it is leaving. */
	mark(address: string): void {
		this.markedAt.set(address, this.clock.readMonotonic());
	}

	/** Forgets what the target at `address` said, for example when another process answers there. */
	clear(address: string): void {
		this.markedAt.delete(address);
	}

	/** Whether the target at `address` must get no new work. */
	has(address: string): boolean {
		const markedAt = this.markedAt.get(address) ?? Number.NEGATIVE_INFINITY;
		return this.listed.has(address) || this.clock.readMonotonic() - markedAt < ownWordMs;
	}

	dump(): unknown {
		return {listed: [...this.listed], marked: [...this.markedAt.keys()]};
	}

	private async followList(instanceList: InstanceList): Promise<void> {
		const {signal} = this.controller;
		while (!signal.aborted) {
			try {
				const items = await instanceList.read();
				this.listed = new Set(items.filter(item => item.role === 'target' && item.state === 'leaving').map(item => item.address));
			} catch {
				// What was read last stays in force while the list does not answer.
			}

			await this.clock.sleep(listIntervalMs, signal);
		}
	}
}
