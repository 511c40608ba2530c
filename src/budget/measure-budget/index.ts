/** Measures wrongful refusals of a simulated fleet against one whole bucket that sees the same requests. */

import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {OrganisationId} from '../../identity/ids/index.js';
import type {Random} from '../create-random/index.js';
import {measureExcess} from '../interval-meter/index.js';
import type {SimulatedFleet} from '../simulated-fleet/index.js';

/** A load over a fleet. */
export type BudgetLoad = {
	readonly fleet: SimulatedFleet;
	readonly random: Random;
	readonly organisations: readonly ResolvedOrganisation[];
	readonly durationMs: number;
	/** Offered load as a multiple of the organisation's rate. */
	readonly measureLoad: (organisation: OrganisationId) => number;
	/** Chooses the instance that a request goes to. */
	readonly chooseInstance: (organisation: OrganisationId, elapsedMs: number) => number;
	/** Events of the scenario by time. */
	readonly events?: ReadonlyArray<{readonly atMs: number; readonly run: () => void}>;
};

/** What happened to one organisation. */
export type BudgetFigures = {
	readonly organisation: OrganisationId;
	offered: number;
	refused: number;
	/** Refusals of requests that the whole bucket admitted. */
	wrongful: number;
	offeredTokens: number;
	admittedTokens: number;
	/** Tokens that the whole bucket admitted. */
	idealTokens: number;
	/** Largest excess over the rate in any interval, as a share of the burst; at most 1. */
	excess: number;
};

type Source = {readonly organisation: ResolvedOrganisation; readonly figures: BudgetFigures; nextAt: number; level: number; filledAt: number};

/** Mean size of a request, as a share of the burst. */
const meanSize = 0.02;
const largestSize = 0.2;

/** Runs a load with Poisson arrivals and exponential sizes, and returns the figures of each organisation. */
export async function measureBudget(load: BudgetLoad): Promise<BudgetFigures[]> {
	const {fleet} = load;
	const start = fleet.clock.readMonotonic();
	const end = start + load.durationMs;
	const sources = load.organisations.map(organisation => createSource(organisation, start));
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
			void offerNext(load, source, start);
		}
	}

	// Requests still waiting after this are on instances that crashed; they count as neither admitted nor refused.
	await fleet.clock.advance(10_000);
	return sources.map(source => finishFigures(load, source));
}

function createSource(organisation: ResolvedOrganisation, start: number): Source {
	const figures = {
		organisation: organisation.id, offered: 0, refused: 0, wrongful: 0, offeredTokens: 0, admittedTokens: 0, idealTokens: 0, excess: 0,
	};
	return {
		organisation, figures, nextAt: start, level: organisation.burstTokens, filledAt: start,
	};
}

async function offerNext(load: BudgetLoad, source: Source, start: number): Promise<void> {
	const {fleet, random} = load;
	const {organisation, figures} = source;
	const now = source.nextAt;
	const meanTokens = meanSize * organisation.burstTokens;
	const rate = load.measureLoad(organisation.id) * organisation.tokensPerSecond / 1000 / meanTokens;
	source.nextAt += -Math.log(1 - random()) / rate;
	const tokens = Math.min(-Math.log(1 - random()) * meanTokens, largestSize * organisation.burstTokens);
	const isIdeal = admitIdeal(source, tokens, now);
	figures.offered += 1;
	figures.offeredTokens += tokens;
	figures.idealTokens += isIdeal ? tokens : 0;
	const refusal = await fleet.offerRequest(load.chooseInstance(organisation.id, now - start), {
		organisation: organisation.id, tokens, usedTokens: tokens, durationMs: 1000,
	});
	if (refusal !== undefined) {
		figures.refused += 1;
		figures.wrongful += isIdeal ? 1 : 0;
	}
}

function admitIdeal(source: Source, tokens: number, now: number): boolean {
	const {tokensPerSecond, burstTokens} = source.organisation;
	source.level = Math.min(burstTokens, source.level + ((now - source.filledAt) / 1000 * tokensPerSecond));
	source.filledAt = now;
	if (source.level < tokens) {
		return false;
	}

	source.level -= tokens;
	return true;
}

function finishFigures(load: BudgetLoad, {organisation, figures}: Source): BudgetFigures {
	const admitted = load.fleet.admitted.get(organisation.id) ?? [];
	figures.admittedTokens = admitted.reduce((sum, request) => sum + request.tokens, 0);
	figures.excess = measureExcess(admitted, organisation.tokensPerSecond) / organisation.burstTokens;
	return figures;
}
