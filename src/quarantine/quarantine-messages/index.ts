/**
 * Messages about crashes and quarantines between instances. They carry ages and remaining times instead of times,
 * since each instance has a monotonic clock of its own.
 */

import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {CrashReport} from '../crash-ledger/index.js';
import {maximumKeyLength, maximumTrackedParts, type PartKey} from '../part-key/index.js';
import type {Quarantine} from '../quarantine-register/index.js';

/** When a call with the part ended with a complete answer, which clears the part of crashes before. */
export type Clearance = {readonly part: PartKey; readonly completedAt: MonotonicMs};

/** A quarantine and when an instance decided on it. */
export type QuarantineNotice = {readonly quarantine: Quarantine; readonly decidedAt: MonotonicMs};

/** What one instance tells the others. */
export type QuarantineNews
	= | {readonly type: 'crash'; readonly crash: CrashReport}
		| {readonly type: 'clearance'; readonly clearances: readonly Clearance[]}
		| {readonly type: 'quarantine'; readonly notice: QuarantineNotice};

/** Maximum number of prompts in one message; it bounds the size of a datagram. */
export const maximumPromptsPerMessage = 8;
/** Maximum number of clearances in one message. */
export const maximumClearancesPerMessage = 32;

type MessageField = 'type' | 'target' | 'startedAt' | 'ageMs' | 'prompts' | 'clearances' | 'part' | 'crashes' | 'durationMs' | 'remainingMs';
type PromptRow = readonly [sentAgeMs: number, parts: readonly PartKey[]];
type ClearanceRow = readonly [part: PartKey, ageMs: number];
/** Message on the wire. */
export type QuarantineMessage
	= | {readonly type: 'crash'; readonly target: TargetId; readonly startedAt: number; readonly ageMs: number; readonly prompts: readonly PromptRow[]}
		| {readonly type: 'clearance'; readonly clearances: readonly ClearanceRow[]}
		| {readonly type: 'quarantine'; readonly part: PartKey; readonly crashes: number; readonly durationMs: number; readonly remainingMs: number; readonly ageMs: number};

/** Formats news as they are sent at `now`. */
export function formatNews(news: QuarantineNews, now: MonotonicMs): QuarantineMessage {
	switch (news.type) {
		case 'crash': {
			const {target, startedAt, crashedAt, prompts} = news.crash;
			return {
				type: 'crash', target, startedAt, ageMs: now - crashedAt, prompts: prompts.map(({parts, sentAt}) => [now - sentAt, parts]),
			};
		}

		case 'clearance': {
			return {type: 'clearance', clearances: news.clearances.map(({part, completedAt}) => [part, now - completedAt])};
		}

		case 'quarantine': {
			const {quarantine: {key: part, crashes, durationMs, endsAt}, decidedAt} = news.notice;
			return {
				type: 'quarantine', part, crashes, durationMs, remainingMs: endsAt - now, ageMs: now - decidedAt,
			};
		}
	}
}

/** Parses a message received at `now`. Throws a `TypeError` if it is malformed. */
export function parseNews(body: unknown, now: MonotonicMs): QuarantineNews {
	const message = (typeof body === 'object' && body !== null ? body : {}) as Partial<Record<MessageField, unknown>>;
	switch (message.type) {
		case 'crash': {
			const prompts = demandList(message.prompts, maximumPromptsPerMessage).map(row => parsePrompt(row, now));
			return {
				type: 'crash',
				crash: {
					target: demandText(message.target) as TargetId, startedAt: demandNumber(message.startedAt),
					crashedAt: parseAge(message.ageMs, now), prompts,
				},
			};
		}

		case 'clearance': {
			const clearances = demandList(message.clearances, maximumClearancesPerMessage).map(row => parseClearance(row, now));
			return {type: 'clearance', clearances};
		}

		case 'quarantine': {
			const endsAt = now + demandNumber(message.remainingMs) as MonotonicMs;
			const quarantine: Quarantine = {
				key: demandText(message.part) as PartKey, crashes: demandNumber(message.crashes), durationMs: demandNumber(message.durationMs), endsAt,
			};
			return {type: 'quarantine', notice: {quarantine, decidedAt: parseAge(message.ageMs, now)}};
		}

		default: {
			throw new TypeError('the message has no known type');
		}
	}
}

function parsePrompt(row: unknown, now: MonotonicMs): CrashReport['prompts'][number] {
	const [sentAgeMs, parts] = demandList(row, 2);
	return {parts: demandList(parts, maximumTrackedParts).map(part => demandText(part) as PartKey), sentAt: parseAge(sentAgeMs, now)};
}

function parseClearance(row: unknown, now: MonotonicMs): Clearance {
	const [part, ageMs] = demandList(row, 2);
	return {part: demandText(part) as PartKey, completedAt: parseAge(ageMs, now)};
}

function parseAge(value: unknown, now: MonotonicMs): MonotonicMs {
	return now - demandNumber(value) as MonotonicMs;
}

function demandNumber(value: unknown): number {
	if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
		throw new TypeError('a number is missing or negative');
	}

	return value;
}

function demandText(value: unknown): string {
	if (typeof value !== 'string' || value === '' || value.length > maximumKeyLength) {
		throw new TypeError('a text is missing or too long');
	}

	return value;
}

function demandList(value: unknown, maximumLength: number): unknown[] {
	if (!Array.isArray(value) || value.length > maximumLength) {
		throw new TypeError('a list is missing or too long');
	}

	return value;
}
