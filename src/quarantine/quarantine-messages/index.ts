/** Messages about engine crashes and quarantines of prompt parts between instances. */

import type {InstanceId, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {CrashReport} from '../crash-ledger/index.js';
import {
	demandList, demandText, formatCrashedTarget, formatNotice, parseAge, parseCrashedTarget, parseNotice, readFields, type QuarantineNotice,
} from '../message-fields/index.js';
import {maximumTrackedParts, type PartKey} from '../part-key/index.js';

/** When a call with the part ended with a complete answer, which clears the part of crashes before. */
export type Clearance = {readonly part: PartKey; readonly completedAt: MonotonicMs};

/** What one instance tells the others. */
export type QuarantineNews
	= | {readonly type: 'crash'; readonly crash: CrashReport}
		| {readonly type: 'clearance'; readonly clearances: readonly Clearance[]}
		| {readonly type: 'quarantine'; readonly notice: QuarantineNotice<PartKey>}
		/** An instance wants to send a call with a part on probation to one target. Instances of earlier releases refuse the message. */
		| {readonly type: 'trial'; readonly part: PartKey; readonly instance: InstanceId; readonly announcedAt: MonotonicMs};

/** Maximum number of prompts in one message; it bounds the size of a datagram. */
export const maximumPromptsPerMessage = 8;
/** Maximum number of clearances in one message. */
export const maximumClearancesPerMessage = 32;

type PromptRow = readonly [sentAgeMs: number, parts: readonly PartKey[]];
type ClearanceRow = readonly [part: PartKey, ageMs: number];
/** Message on the wire. */
export type QuarantineMessage
	= | {readonly type: 'crash'; readonly target: TargetId; readonly startedAt: number; readonly ageMs: number; readonly prompts: readonly PromptRow[]}
		| {readonly type: 'clearance'; readonly clearances: readonly ClearanceRow[]}
		| {readonly type: 'quarantine'; readonly part: PartKey; readonly crashes: number; readonly durationMs: number; readonly remainingMs: number; readonly ageMs: number}
		| {readonly type: 'trial'; readonly part: PartKey; readonly instance: InstanceId; readonly ageMs: number};

/** Formats news as they are sent at `now`. */
export function formatNews(news: QuarantineNews, now: MonotonicMs): QuarantineMessage {
	switch (news.type) {
		case 'crash': {
			const prompts: PromptRow[] = news.crash.prompts.map(({parts, sentAt}) => [now - sentAt, parts]);
			return {type: 'crash', ...formatCrashedTarget(news.crash, now), prompts};
		}

		case 'clearance': {
			return {type: 'clearance', clearances: news.clearances.map(({part, completedAt}) => [part, now - completedAt])};
		}

		case 'quarantine': {
			return {type: 'quarantine', part: news.notice.quarantine.key, ...formatNotice(news.notice, now)};
		}

		case 'trial': {
			return {
				type: 'trial', part: news.part, instance: news.instance, ageMs: now - news.announcedAt,
			};
		}
	}
}

/** Parses a message received at `now`. Throws a `TypeError` if it is malformed. */
export function parseNews(body: unknown, now: MonotonicMs): QuarantineNews {
	const message = readFields(body);
	switch (message.type) {
		case 'crash': {
			const prompts = demandList(message.prompts, maximumPromptsPerMessage).map(row => parsePrompt(row, now));
			return {type: 'crash', crash: {...parseCrashedTarget(message, now), prompts}};
		}

		case 'clearance': {
			const clearances = demandList(message.clearances, maximumClearancesPerMessage).map(row => parseClearance(row, now));
			return {type: 'clearance', clearances};
		}

		case 'quarantine': {
			return {type: 'quarantine', notice: parseNotice(demandText(message.part) as PartKey, message, now)};
		}

		case 'trial': {
			return {
				type: 'trial', part: demandText(message.part) as PartKey, instance: demandText(message.instance) as InstanceId,
				announcedAt: parseAge(message.ageMs, now),
			};
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
