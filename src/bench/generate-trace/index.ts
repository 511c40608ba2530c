/**
 * The benchmark's workload as a trace: prompts that share prefixes nested in three levels, a few
 * very hot prefixes that shift, and five organisations of which one floods for a while.
 */

import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {bytesPerToken, pieceBytes} from '../../placement/hash-prompt/index.js';

/** An organisation of the workload. */
export type TraceOrganisation = {
	readonly name: string;
	/** Share of the usual traffic, 0 to 1. */
	readonly share: number;
	/** Pieces of the prompt that all its requests begin with. */
	readonly systemPieces: number;
	readonly catalogues: number;
	/** Pieces of one catalogue, after the system prompt. */
	readonly cataloguePieces: number;
	/** Share of its requests that go to its hottest catalogue, on top of the usual popularity. */
	readonly hotShare: number;
};

/** Five organisations, two of them large; each has prefixes of its own depth. */
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
	/** Organisation that floods, by index, and its rate relative to its usual one. */
	readonly flooder: number;
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

const listPieces = 3;
const listsPerCatalogue = 8;
const phases = 3;
/** Part of the trace that fills the caches and is not measured, the same for every strategy. */
const warmUp = 0.25;
const floodBegin = 0.45;
const floodEnd = 0.75;
const zipfExponent = 1;
const msPerSecond = 1000;

/** Begin and end of the flood. */
export function calculateFloodWindow(options: Pick<TraceOptions, 'durationMs'>): {beginMs: number; endMs: number} {
	return {beginMs: options.durationMs * floodBegin, endMs: options.durationMs * floodEnd};
}

/** Time from which requests are measured. */
export function calculateWarmUp(options: Pick<TraceOptions, 'durationMs'>): number {
	return options.durationMs * warmUp;
}

/** Generates the trace of `options.seed`, in order of time. */
export function generateTrace(options: TraceOptions): TraceRequest[] {
	const generator = xoroshiro128plus(options.seed);
	const random = () => uniformFloat64(generator);
	const requests = traceOrganisations.flatMap((organisation, index) => {
		const {beginMs, endMs} = calculateFloodWindow(options);
		const rate = organisation.share * options.requestsPerSecond / msPerSecond;
		const times = index === options.flooder
			? [...drawTimes(0, options.durationMs, rate, random), ...drawTimes(beginMs, endMs, rate * (options.floodFactor - 1), random)]
			: drawTimes(0, options.durationMs, rate, random);
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

function drawTimes(begin: number, end: number, ratePerMs: number, random: () => number): number[] {
	const times: number[] = [];
	let at = begin;
	for (;;) {
		at += -Math.log(1 - random()) / ratePerMs;
		if (at >= end) {
			return times;
		}

		times.push(at);
	}
}

function createRequest(organisation: TraceOrganisation, atMs: number, options: TraceOptions, random: () => number): TraceRequest {
	const phase = Math.floor(atMs / options.durationMs * phases);
	const isHot = random() < organisation.hotShare;
	// The rank order of catalogues is rotated in each phase, so that other ones are popular.
	const rank = isHot ? 0 : drawZipf(organisation.catalogues, random);
	const catalogue = (rank + (phase * 3)) % organisation.catalogues;
	const list = drawZipf(listsPerCatalogue, random);
	const {name} = organisation;
	return {
		atMs,
		organisation: name,
		pieces: [
			...createPieces(`${name}-system`, organisation.systemPieces),
			...createPieces(`${name}-catalogue-${catalogue}`, organisation.cataloguePieces),
			...createPieces(`${name}-catalogue-${catalogue}-list-${list}`, listPieces),
		],
		tailBytes: 400 + Math.floor(random() * 2000),
		maximumTokens: 8 + Math.floor(random() * 16),
		entry: random(),
	};
}

function createPieces(name: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${name}-${index}`);
}

function drawZipf(count: number, random: () => number): number {
	const weights = Array.from({length: count}, (_, rank) => 1 / ((rank + 1) ** zipfExponent));
	let rest = random() * weights.reduce((sum, weight) => sum + weight, 0);
	const rank = weights.findIndex(weight => {
		rest -= weight;
		return rest < 0;
	});
	return rank === -1 ? count - 1 : rank;
}
