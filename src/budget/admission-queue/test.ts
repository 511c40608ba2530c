import {test} from 'node:test';
import {expect} from 'earl';
import {Registry} from 'prom-client';
import {SystemClock} from '../../clock/clock/index.js';
import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {MonotonicMs, OrganisationId} from '../../identity/ids/index.js';
import type {Charge} from '../budget-holder/index.js';
import {createBudgetMetrics} from '../budget-metrics/index.js';
import {AdmissionQueue, type AdmissionQueueOptions} from './index.js';

const organisation: Pick<ResolvedOrganisation, 'id' | 'tokensPerSecond' | 'burstTokens' | 'weight'> = {
	id: 'org' as OrganisationId, tokensPerSecond: 100, burstTokens: 1000, weight: 1,
};
const waitMs = 100;

/** Creates a queue whose supply has `supply.tokens` left and receives none. */
function createQueue(supply: {tokens: number}): AdmissionQueue {
	const charge: Charge = {pieces: [], holdExpiresAt: 0 as MonotonicMs, isOpen: true};
	const options = {
		clock: new SystemClock(), metrics: createBudgetMetrics(new Registry()),
		supply: {
			charge(_account: unknown, tokens: number) {
				if (tokens > supply.tokens) {
					return undefined;
				}

				supply.tokens -= tokens;
				return charge;
			},
			async refill() {
				// No tokens arrive by themselves.
			},
		},
		holder: {
			countAvailable: () => 0,
			returnSurplus() {
				// Nothing is held.
			},
		},
		exchanger: {
			isInTransition: () => false,
			isReachable: () => true,
			async flushReports() {
				// Nothing is reported.
			},
		},
	};
	return new AdmissionQueue(options as unknown as AdmissionQueueOptions);
}

test('guards against a waiting request that is passed over when the one before it is served', async () => {
	const supply = {tokens: 0};
	const queue = createQueue(supply);
	const admissions = Promise.allSettled([1, 2, 3].map(async () => queue.admit(organisation as ResolvedOrganisation, 10, waitMs)));
	supply.tokens = 20;
	queue.serveQueue(organisation.id);
	const outcomes = await admissions;
	expect(outcomes.map(outcome => outcome.status)).toEqual(['fulfilled', 'fulfilled', 'rejected']);
});
