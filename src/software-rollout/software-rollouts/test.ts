import {test} from 'node:test';
import {expect} from 'earl';
import {
	newVersion, simulateSoftwareRollout, testBounds, type AnswerPlan, type SimulatedRequest, type RolloutScenario, type RolloutTotals,
} from '../../fixtures/simulate-software-rollout/index.js';

/** Duration of an answer, and share of failures that is normal on old and new version alike. */
const usualMs = 43;
const normalFailureShare = 0.03;
const badShare = 0.3;
const slowFactor = 5;
const failureMs = 10;
/** Age of the order at which a version turns bad later. */
const laterMs = 6000;
const badRoute = 'b';
const seeds = [1, 2, 3];
const fiftieth = 50;

type Plan = RolloutScenario['plan'];

/** Deployments: 9 instances before 4 targets of each version, and 61 before 30. */
const deployments = {
	small: {instances: 9, targetsPerVersion: 4, requestsPerSecond: 150},
	large: {instances: 61, targetsPerVersion: 30, requestsPerSecond: 500},
} as const;

function planUsual({draw}: SimulatedRequest): AnswerPlan {
	return {isFailure: draw() < normalFailureShare, durationMs: usualMs * (0.6 + (0.8 * draw())), isBad: false};
}

/** Plans the answers of a version that is bad where `isBad` says so. */
function planFailures(isBad: (request: SimulatedRequest) => boolean): Plan {
	return request => request.isNew && isBad(request) && request.draw() < badShare ? {isFailure: true, durationMs: failureMs, isBad: true} : planUsual(request);
}

function planSlow(isSlow: (request: SimulatedRequest) => boolean): Plan {
	return request => {
		const plan = planUsual(request);
		return request.isNew && isSlow(request) && request.draw() < badShare ? {...plan, durationMs: plan.durationMs * slowFactor, isBad: true} : plan;
	};
}

const goodPlans: Readonly<Record<string, Plan>> = {
	'good version': planUsual,
	'good version with a faulty target for 2 s on each side'(request) {
		const isFaulty = request.target.endsWith('-0') && request.ageMs > 2000 && request.ageMs < 4000;
		return isFaulty && request.draw() < badShare ? {isFailure: true, durationMs: failureMs, isBad: false} : planUsual(request);
	},
	'good version while all targets fall silent for 1.2 s'(request) {
		const plan = planUsual(request);
		return request.ageMs > 5000 && request.ageMs < 6200 ? {...plan, durationMs: plan.durationMs + 6200 - request.ageMs} : plan;
	},
	'good version with one target that answers slowly for 3 s'(request) {
		const plan = planUsual(request);
		const isSlow = request.target === `${newVersion}-1` && request.ageMs > 6000 && request.ageMs < 9000;
		return isSlow ? {...plan, durationMs: plan.durationMs * slowFactor} : plan;
	},
};

const badPlans: Readonly<Record<string, Plan>> = {
	'version that fails at once': planFailures(() => true),
	'version that is slow at once': planSlow(() => true),
	'version that fails later': planFailures(({ageMs}) => ageMs > laterMs),
	'version that is slow later': planSlow(({ageMs}) => ageMs > laterMs),
	'version that fails under load only': planFailures(({load}) => load >= 1),
	'version that fails on one route only': planFailures(({route}) => route === badRoute),
	'version that is slow on one route only': planSlow(({route}) => route === badRoute),
};

async function simulate(deployment: keyof typeof deployments, plan: Plan, seed: number): Promise<RolloutTotals> {
	return simulateSoftwareRollout({
		...deployments[deployment], routes: ['a', badRoute, 'c', 'd'], durationMs: 12_000, seed, plan,
	});
}

for (const deployment of ['small', 'large'] as const) {
	for (const [name, plan] of Object.entries(goodPlans)) {
		test(`guards against a rollout that is not completed in time, or ends calls: ${name}, ${deployment} deployment`, async () => {
			for (const seed of seeds) {
				const {endState, endedAt, leftAtCompletion, refused} = await simulate(deployment, plan, seed);
				expect([endState, (endedAt ?? Infinity) <= 12_000, leftAtCompletion, refused]).toEqual(['completed', true, 0, 0]);
			}
		});
	}

	for (const [name, plan] of Object.entries(badPlans)) {
		test(`guards against a bad version that gets more than it may: ${name}, ${deployment} deployment`, async () => {
			for (const seed of seeds) {
				const totals = await simulate(deployment, plan, seed);
				const allowed = (testBounds.exposureShare * totals.requests) + testBounds.exposureSlack;
				const stopBy = (totals.fiftiethBadAt ?? Infinity) + testBounds.rollbackMs;
				expect([totals.endState, totals.newRequests <= allowed, totals.lastNewAt <= stopBy, totals.refused]).toEqual(['rolledBack', true, true, 0]);
				expect(totals.badAnswers < 3 * fiftieth).toEqual(true);
			}
		});
	}
}
