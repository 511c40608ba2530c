/**
 * Messages about requests that crash targets between instances. They carry ages and remaining times instead of times,
 * since each instance has a monotonic clock of its own.
 */

import type {InstanceId, MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {Quarantine} from '../quarantine-register/index.js';
import {isRequestKey} from '../request-codec/index.js';
import type {RequestKey} from '../request-key/index.js';
import type {CrashedRequest, RequestCrash} from '../request-ledger/index.js';

/** What one instance tells the others. Times are on the clock of the instance that reads or sends them. */
export type RequestNews
	= | {readonly type: 'crash'; readonly crash: RequestCrash}
		/** A request had a complete answer, which clears it of crashes before. */
		| {readonly type: 'clearance'; readonly key: RequestKey; readonly completedAt: MonotonicMs}
		| {readonly type: 'quarantine'; readonly quarantine: Quarantine<RequestKey>; readonly decidedAt: MonotonicMs}
		/** An instance wants to send a request on probation to one target. */
		| {readonly type: 'trial'; readonly key: RequestKey; readonly instance: InstanceId; readonly announcedAt: MonotonicMs};

/** Maximum number of requests in one message; it bounds the size of a datagram. */
export const maximumRequestsPerMessage = 16;
const maximumTextLength = 200;

/** Formats news as they are sent at `now`. */
export function formatRequestNews(news: RequestNews, now: MonotonicMs): unknown {
	switch (news.type) {
		case 'crash': {
			const {target, startedAt, crashedAt, requests} = news.crash;
			return {
				type: 'crash', target, startedAt, ageMs: now - crashedAt, requests: requests.map(({key, sentAt}) => [key, now - sentAt]),
			};
		}

		case 'clearance': {
			return {type: 'clearance', key: news.key, ageMs: now - news.completedAt};
		}

		case 'quarantine': {
			const {quarantine: {key, crashes, durationMs, endsAt}, decidedAt} = news;
			return {
				type: 'quarantine', key, crashes, durationMs, remainingMs: endsAt - now, ageMs: now - decidedAt,
			};
		}

		case 'trial': {
			return {
				type: 'trial', key: news.key, instance: news.instance, ageMs: now - news.announcedAt,
			};
		}
	}
}

/** Parses a message received at `now`. Throws a `TypeError` if it is malformed. */
export function parseRequestNews(body: unknown, now: MonotonicMs): RequestNews {
	const message = (typeof body === 'object' && body !== null ? body : {}) as Partial<Record<string, unknown>>;
	const readAge = () => now - demandNumber(message.ageMs) as MonotonicMs;
	switch (message.type) {
		case 'crash': {
			return {
				type: 'crash',
				crash: {
					target: demandText(message.target) as TargetId, startedAt: demandNumber(message.startedAt), crashedAt: readAge(),
					requests: demandList(message.requests).map(row => parseRequest(row, now)),
				},
			};
		}

		case 'clearance': {
			return {type: 'clearance', key: demandKey(message.key), completedAt: readAge()};
		}

		case 'quarantine': {
			const endsAt = now + demandNumber(message.remainingMs) as MonotonicMs;
			const quarantine: Quarantine<RequestKey> = {
				key: demandKey(message.key), crashes: demandNumber(message.crashes), durationMs: demandNumber(message.durationMs), endsAt,
			};
			return {type: 'quarantine', quarantine, decidedAt: readAge()};
		}

		case 'trial': {
			return {
				type: 'trial', key: demandKey(message.key), instance: demandText(message.instance) as InstanceId, announcedAt: readAge(),
			};
		}

		default: {
			throw new TypeError('the message has no known type');
		}
	}
}

function parseRequest(row: unknown, now: MonotonicMs): CrashedRequest {
	const [key, sentAgeMs] = demandList(row);
	return {key: demandKey(key), sentAt: now - demandNumber(sentAgeMs) as MonotonicMs};
}

function demandKey(value: unknown): RequestKey {
	if (!isRequestKey(value)) {
		throw new TypeError('the key of a request is missing or not valid');
	}

	return value;
}

function demandNumber(value: unknown): number {
	if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
		throw new TypeError('a number is missing or negative');
	}

	return value;
}

function demandText(value: unknown): string {
	if (typeof value !== 'string' || value === '' || value.length > maximumTextLength) {
		throw new TypeError('a text is missing or too long');
	}

	return value;
}

function demandList(value: unknown): unknown[] {
	if (!Array.isArray(value) || value.length > maximumRequestsPerMessage) {
		throw new TypeError('a list is missing or too long');
	}

	return value;
}
