/**
 * Generates the benchmark's workload: prompts with shared prefixes nested in three levels, a few
 * very hot prefixes that change over time, and five organisations, one of which floods for a while.
 */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {bytesPerToken, pieceBytes} from '../../placement/hash-prompt/index.js';

/** An organisation of the workload. */
export type TraceOrganisation = {
	readonly name: string;
	/** Share of the usual traffic, 0 to 1. */
	readonly share: number;
	/** Pieces of the system prompt that all its requests begin with. */
	readonly systemPieces: number;
	readonly catalogues: number;
	/** Pieces of one catalogue, after the system prompt. */
	readonly cataloguePieces: number;
	/** Share of its requests that go to its hottest catalogue, in addition to those drawn by popularity. */
	readonly hotShare: number;
};

/** Five organisations, two of them large. Their prefixes differ in length. */
export const traceOrganisations: readonly TraceOrganisation[] = [
	{
		name: 'lathe', share: 0.35, systemPieces: 6, catalogues: 12, cataloguePieces: 4, hotShare: 0.5,
	},
	{
		name: 'forge', share: 0.3, systemPieces: 1, catalogues: 10, cataloguePieces: 8, hotShare: 0.5,
	},
	{
		name: 'loom', share: 0.15, systemPieces: 3, catalogues: 6, cataloguePieces: 5, hotShare: 0,
	},
	{
		name: 'press', share: 0.12, systemPieces: 5, catalogues: 5, cataloguePieces: 6, hotShare: 0,
	},
	{
		name: 'anvil', share: 0.08, systemPieces: 2, catalogues: 4, cataloguePieces: 7, hotShare: 0,
	},
];

/** Size and shape of a trace. Times are in milliseconds. */
export type TraceOptions = {
	readonly seed: number;
	readonly durationMs: number;
	/** Requests per second over all organisations while nobody floods. */
	readonly requestsPerSecond: number;
	/** Index of the organisation that floods. */
	readonly flooder: number;
	/** Rate of the flooding organisation during the flood, relative to its usual rate. */
	readonly floodFactor: number;
};

/** One request of a trace. */
export type TraceRequest = {
	readonly atMs: number;
	readonly organisation: string;
	/** Names of the prompt's shared pieces; equal names stand for equal text. */
	readonly pieces: readonly string[];
	/** Bytes of text after the shared pieces, unique to the request and shorter than a piece. */
	readonly tailBytes: number;
	readonly maximumTokens: number;
	/** Random number that selects the entry instance, 0 to 1. */
	readonly entry: number;
};

const piecesPerList = 3;
const listsPerCatalogue = 8;
const popularityPhases = 3;
/** Fraction of the trace that fills the caches and is not measured. The same for every strategy. */
const warmUpFraction = 0.25;
const floodBeginFraction = 0.45;
const floodEndFraction = 0.75;
const zipfExponent = 1;
const msPerSecond = 1000;

/** Begin and end of the flood. */
export function calculateFloodWindow(options: Pick<TraceOptions, 'durationMs'>): {beginMs: number; endMs: number} {
	return {beginMs: options.durationMs * floodBeginFraction, endMs: options.durationMs * floodEndFraction};
}

/** Time from which requests are measured. */
export function calculateWarmUpMs(options: Pick<TraceOptions, 'durationMs'>): number {
	return options.durationMs * warmUpFraction;
}

/** Generates the trace of `options.seed`, in order of arrival. */
export function generateTrace(options: TraceOptions): TraceRequest[] {
	const generator = xoroshiro128plus(options.seed);
	const random = () => uniformFloat64(generator);
	const requests = traceOrganisations.flatMap((organisation, index) => {
		const {beginMs, endMs} = calculateFloodWindow(options);
		const rate = organisation.share * options.requestsPerSecond / msPerSecond;
		const times = index === options.flooder
			? [...drawArrivalTimes(0, options.durationMs, rate, random), ...drawArrivalTimes(beginMs, endMs, rate * (options.floodFactor - 1), random)]
			: drawArrivalTimes(0, options.durationMs, rate, random);
		return times.map(atMs => createRequest(organisation, atMs, options, random));
	});
	return requests.toSorted((a, b) => a.atMs - b.atMs);
}

/** Builds the text of a request's prompt. Equal pieces yield equal bytes. */
export function createPrompt(request: TraceRequest, index: number): string {
	const shared = request.pieces.map(piece => `${piece} `.padEnd(pieceBytes, `${piece} catalogue entry; `)).join('');
	return shared + `request ${index} `.padEnd(request.tailBytes, 'please match this list; ');
}

/** Tokens of a request's prompt. */
export function countPromptTokens(request: TraceRequest): number {
	return Math.ceil(((request.pieces.length * pieceBytes) + request.tailBytes) / bytesPerToken);
}

/** Draws the arrival times of a Poisson process. */
function drawArrivalTimes(beginMs: number, endMs: number, ratePerMs: number, random: () => number): number[] {
	const times: number[] = [];
	let arrivalMs = beginMs;
	for (;;) {
		arrivalMs += -Math.log(1 - random()) / ratePerMs;
		if (arrivalMs >= endMs) {
			return times;
		}

		times.push(arrivalMs);
	}
}

function createRequest(organisation: TraceOrganisation, atMs: number, options: TraceOptions, random: () => number): TraceRequest {
	const phase = Math.floor(atMs / options.durationMs * popularityPhases);
	const isHot = random() < organisation.hotShare;
	// Rotates the popularity ranks in each phase, so that other catalogues become popular.
	const rank = isHot ? 0 : drawZipfRank(organisation.catalogues, random);
	const catalogue = (rank + (phase * 3)) % organisation.catalogues;
	const list = drawZipfRank(listsPerCatalogue, random);
	const {name} = organisation;
	return {
		atMs,
		organisation: name,
		pieces: [
			...createPieces(`${name}-system`, organisation.systemPieces),
			...createPieces(`${name}-catalogue-${catalogue}`, organisation.cataloguePieces),
			...createPieces(`${name}-catalogue-${catalogue}-list-${list}`, piecesPerList),
		],
		tailBytes: 400 + Math.floor(random() * 2000),
		maximumTokens: 8 + Math.floor(random() * 16),
		entry: random(),
	};
}

function createPieces(name: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${name}-${index}`);
}

function drawZipfRank(count: number, random: () => number): number {
	const weights = Array.from({length: count}, (_, rank) => 1 / ((rank + 1) ** zipfExponent));
	let remainingWeight = random() * weights.reduce((sum, weight) => sum + weight, 0);
	const rank = weights.findIndex(weight => {
		remainingWeight -= weight;
		return remainingWeight < 0;
	});
	return rank === -1 ? count - 1 : rank;
}
