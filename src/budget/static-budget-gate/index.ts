/** Baseline for measurements: each instance admits a fixed fraction of every organisation's rate and burst. */

import type {Clock} from '../../clock/clock/index.js';
import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {Admission, BudgetGate} from '../budget-gate/index.js';

type Bucket = {level: number; refilledAt: MonotonicMs};

const msPerSecond = 1000;

/** Token buckets of one instance, each with `fraction` of the organisation's rate and burst. */
export class StaticBudgetGate implements BudgetGate {
	private readonly buckets = new Map<OrganisationId, Bucket>();

	constructor(private readonly clock: Clock, private readonly fraction: number) {}

	async admit(organisation: ResolvedOrganisation, tokens: number): Promise<Admission> {
		const now = this.clock.readMonotonic();
		const bucket = this.refillBucket(organisation, now);
		if (tokens > organisation.burstTokens * this.fraction) {
			throw createRouterError('burstExceeded');
		}

		if (tokens > bucket.level) {
			const retryAfterSeconds = (tokens - bucket.level) / (organisation.tokensPerSecond * this.fraction);
			throw createRouterError('budgetExceeded', undefined, {retryAfterSeconds});
		}

		bucket.level -= tokens;
		return {
			settle() {
				// The estimate is the final charge: unused tokens are not returned.
			},
		};
	}

	private refillBucket(organisation: ResolvedOrganisation, now: MonotonicMs): Bucket {
		const burst = organisation.burstTokens * this.fraction;
		const bucket = this.buckets.get(organisation.id) ?? {level: burst, refilledAt: now};
		const earnedTokens = (now - bucket.refilledAt) / msPerSecond * organisation.tokensPerSecond * this.fraction;
		bucket.level = Math.min(burst, bucket.level + earnedTokens);
		bucket.refilledAt = now;
		this.buckets.set(organisation.id, bucket);
		return bucket;
	}
}
