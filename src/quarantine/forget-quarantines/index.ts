/** Removes quarantines whose probation has ended as well. One instance a round, on average, does it for all. */

import type {Clock} from '../../clock/clock/index.js';
import type {Member} from '../../membership/member/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {QuarantineRecords} from '../quarantine-records/index.js';
import type {QuarantineRegister} from '../quarantine-register/index.js';

/** Interval at which an instance may do so, in milliseconds. */
const cleaningIntervalMs = 60_000;

/** Dependencies of `forgetQuarantines`. */
export type ForgetQuarantinesOptions<Key extends string> = {
	readonly clock: Clock;
	readonly random: RandomSource;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	readonly register: QuarantineRegister<Key>;
	readonly records: QuarantineRecords<Key>;
};

/** Forgets quarantines until `signal` aborts. */
export async function forgetQuarantines<Key extends string>(options: ForgetQuarantinesOptions<Key>, signal: AbortSignal): Promise<void> {
	const {
		clock, random, listPeers, register, records,
	} = options;
	while (!signal.aborted) {
		await clock.sleep(random.applyJitter(cleaningIntervalMs), signal);
		if (random.pickIndex(listPeers().length + 1) === 0) {
			for (const key of register.listForgettable(clock.readMonotonic())) {
				register.lift(key);
				void records.remove(key);
			}
		}
	}
}
