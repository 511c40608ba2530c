/** The evidence on each rollout in progress: what this instance counts, and the sums of the fleet. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {EvidenceLedger} from '../evidence-ledger/index.js';
import {EvidenceRecorder} from '../evidence-recorder/index.js';
import type {KnownRollout} from '../order-register/index.js';

/** Evidence on one rollout. */
export type RolloutEvidence = {
	readonly order: number;
	readonly own: EvidenceRecorder;
	readonly fleet: EvidenceLedger;
	/** When the version had given many bad answers, as far as this instance has heard; undefined before. */
	manyBadSince: MonotonicMs | undefined;
};

/** Evidence by service, for the newest order of each. */
export class EvidenceStore {
	private readonly evidence = new Map<ServiceId, RolloutEvidence>();

	/** Returns the evidence on a rollout; that on an earlier order of the service is discarded. */
	get({order, number}: Pick<KnownRollout, 'order' | 'number'>): RolloutEvidence {
		const {service} = order;
		const known = this.evidence.get(service);
		if (known?.order === number) {
			return known;
		}

		const created: RolloutEvidence = {
			order: number, own: new EvidenceRecorder(), fleet: new EvidenceLedger(), manyBadSince: undefined,
		};
		this.evidence.set(service, created);
		return created;
	}
}
