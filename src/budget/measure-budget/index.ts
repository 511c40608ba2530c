/** Measures wrongful refusals of a simulated fleet, compared with a single reference bucket that gets the same requests. */

import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {OrganisationId} from '../../identity/ids/index.js';
import type {Random} from '../create-random/index.js';
import {measureExcess} from '../measure-excess/index.js';
import type {SimulatedFleet} from '../simulated-fleet/index.js';

/** Load on a fleet. */
export type BudgetLoad = {
	readonly fleet: SimulatedFleet;
	readonly random: Random;
	readonly organisations: readonly ResolvedOrganisation[];
	readonly durationMs: number;
	/** Returns the offered load as a multiple of the organisation's rate. */
	readonly chooseLoadFactor: (organisation: OrganisationId) => number;
	/** Chooses the instance that a request goes to. */
	readonly chooseInstance: (organisation: OrganisationId, elapsedMs: number) => number;
	/** Events of the scenario, at times relative to the start. */
	readonly events?: ReadonlyArray<{readonly atMs: number; readonly run: () => void}>;
};

/** Requests and tokens of one organisation, as offered, admitted and refused. */
export type BudgetMeasurement = {
	readonly organisation: OrganisationId;
	/** Number of offered requests. */
	offered: number;
	/** Number of refused requests. */
	refused: number;
	/** Refused requests that the reference bucket admitted. */
	wrongfulRefusals: number;
	offeredTokens: number;
	admittedTokens: number;
	/** Tokens that the reference bucket admitted. */
	referenceTokens: number;
	/** Largest excess over the rate in any interval, as a share of the burst. It must not exceed 1. */
	excessShare: number;
};

type RequestSource = {readonly organisation: ResolvedOrganisation; readonly measurement: BudgetMeasurement; nextAt: number; level: number; refilledAt: number};

/** Sizes of requests, as shares of the burst. */
const meanRequestShare = 0.02;
const maximumRequestShare = 0.2;

/** Runs a load with Poisson arrivals and exponential sizes, and returns the measurement of each organisation. */
export async function measureBudget(load: BudgetLoad): Promise<BudgetMeasurement[]> {
	const {fleet} = load;
	const start = fleet.clock.readMonotonic();
	const end = start + load.durationMs;
	const sources = load.organisations.map(organisation => createRequestSource(organisation, start));
	const events = [...load.events ?? []].toSorted((a, b) => a.atMs - b.atMs);
	for (;;) {
		const source = sources.toSorted((a, b) => a.nextAt - b.nextAt)[0];
		const eventAt = start + (events[0]?.atMs ?? Number.POSITIVE_INFINITY);
		const at = Math.min(source?.nextAt ?? end, eventAt, end);
		await fleet.clock.advance(at - fleet.clock.readMonotonic());
		if (at >= end || source === undefined) {
			break;
		}

		if (at === eventAt) {
			events.shift()?.run();
		} else {
			void offerNextRequest(load, source, start);
		}
	}

	// Requests that still wait after this are on crashed instances and count as neither admitted nor refused.
	await fleet.clock.advance(10_000);
	return sources.map(source => completeMeasurement(load, source));
}

function createRequestSource(organisation: ResolvedOrganisation, start: number): RequestSource {
	const measurement = {
		organisation: organisation.id, offered: 0, refused: 0, wrongfulRefusals: 0,
		offeredTokens: 0, admittedTokens: 0, referenceTokens: 0, excessShare: 0,
	};
	return {
		organisation, measurement, nextAt: start, level: organisation.burstTokens, refilledAt: start,
	};
}

async function offerNextRequest(load: BudgetLoad, source: RequestSource, start: number): Promise<void> {
	const {fleet, random} = load;
	const {organisation, measurement} = source;
	const now = source.nextAt;
	const meanTokens = meanRequestShare * organisation.burstTokens;
	const requestsPerMs = load.chooseLoadFactor(organisation.id) * organisation.tokensPerSecond / 1000 / meanTokens;
	source.nextAt += -Math.log(1 - random()) / requestsPerMs;
	const tokens = Math.min(-Math.log(1 - random()) * meanTokens, maximumRequestShare * organisation.burstTokens);
	const isAdmittedByReference = admitToReferenceBucket(source, tokens, now);
	measurement.offered += 1;
	measurement.offeredTokens += tokens;
	measurement.referenceTokens += isAdmittedByReference ? tokens : 0;
	const refusal = await fleet.offerRequest(load.chooseInstance(organisation.id, now - start), {
		organisation: organisation.id, tokens, usedTokens: tokens, durationMs: 1000,
	});
	if (refusal !== undefined) {
		measurement.refused += 1;
		measurement.wrongfulRefusals += isAdmittedByReference ? 1 : 0;
	}
}

function admitToReferenceBucket(source: RequestSource, tokens: number, now: number): boolean {
	const {tokensPerSecond, burstTokens} = source.organisation;
	source.level = Math.min(burstTokens, source.level + ((now - source.refilledAt) / 1000 * tokensPerSecond));
	source.refilledAt = now;
	if (source.level < tokens) {
		return false;
	}

	source.level -= tokens;
	return true;
}

function completeMeasurement(load: BudgetLoad, {organisation, measurement}: RequestSource): BudgetMeasurement {
	const admitted = load.fleet.admitted.get(organisation.id) ?? [];
	measurement.admittedTokens = admitted.reduce((sum, request) => sum + request.tokens, 0);
	measurement.excessShare = measureExcess(admitted, organisation.tokensPerSecond) / organisation.burstTokens;
	return measurement;
}
