/** Messages about requests that crash targets between instances. */

import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {
	demandList, demandText, formatCrashedTarget, formatNotice, parseAge, parseCrashedTarget, parseNotice, readFields, type QuarantineNotice,
} from '../message-fields/index.js';
import {isRequestKey} from '../request-codec/index.js';
import type {RequestKey} from '../request-key/index.js';
import type {CrashedRequest, RequestCrash} from '../request-ledger/index.js';

/** What one instance tells the others. Times are on the clock of the instance that reads or sends them. */
export type RequestNews
	= | {readonly type: 'crash'; readonly crash: RequestCrash}
		/** A request had a complete answer, which clears it of crashes before. */
		| {readonly type: 'clearance'; readonly key: RequestKey; readonly completedAt: MonotonicMs}
		| ({readonly type: 'quarantine'} & QuarantineNotice<RequestKey>)
		/** An instance wants to send a request on probation to one target. */
		| {readonly type: 'trial'; readonly key: RequestKey; readonly instance: InstanceId; readonly announcedAt: MonotonicMs};

/** Maximum number of requests in one message; it bounds the size of a datagram. */
export const maximumRequestsPerMessage = 16;

/** Formats news as they are sent at `now`. */
export function formatRequestNews(news: RequestNews, now: MonotonicMs): unknown {
	switch (news.type) {
		case 'crash': {
			const requests = news.crash.requests.map(({key, sentAt}) => [key, now - sentAt]);
			return {type: 'crash', ...formatCrashedTarget(news.crash, now), requests};
		}

		case 'clearance': {
			return {type: 'clearance', key: news.key, ageMs: now - news.completedAt};
		}

		case 'quarantine': {
			return {type: 'quarantine', key: news.quarantine.key, ...formatNotice(news, now)};
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
	const message = readFields(body);
	switch (message.type) {
		case 'crash': {
			const requests = demandList(message.requests, maximumRequestsPerMessage).map(row => parseRequest(row, now));
			return {type: 'crash', crash: {...parseCrashedTarget(message, now), requests}};
		}

		case 'clearance': {
			return {type: 'clearance', key: demandKey(message.key), completedAt: parseAge(message.ageMs, now)};
		}

		case 'quarantine': {
			return {type: 'quarantine', ...parseNotice(demandKey(message.key), message, now)};
		}

		case 'trial': {
			return {
				type: 'trial', key: demandKey(message.key), instance: demandText(message.instance) as InstanceId, announcedAt: parseAge(message.ageMs, now),
			};
		}

		default: {
			throw new TypeError('the message has no known type');
		}
	}
}

function parseRequest(row: unknown, now: MonotonicMs): CrashedRequest {
	const [key, sentAgeMs] = demandList(row, maximumRequestsPerMessage);
	return {key: demandKey(key), sentAt: parseAge(sentAgeMs, now)};
}

function demandKey(value: unknown): RequestKey {
	if (!isRequestKey(value)) {
		throw new TypeError('the key of a request is missing or not valid');
	}

	return value;
}
