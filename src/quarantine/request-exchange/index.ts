/** Tells all other live instances about crashes, clearances, quarantines and trials of requests. */

import {splitList} from '../../peers/split-list/index.js';
import {NewsExchange, trialRepeatDelaysMs, type NewsExchangeOptions} from '../news-exchange/index.js';
import type {RequestCrash} from '../request-ledger/index.js';
import {
	formatRequestNews, maximumRequestsPerMessage, parseRequestNews, type RequestNews,
} from '../request-messages/index.js';

/** Message type of the datagrams. */
export const requestMessageType = 'request-quarantine';

/** Sends and receives news about requests that crash targets. */
export class RequestExchange {
	private readonly exchange: NewsExchange<RequestNews>;

	constructor(options: NewsExchangeOptions<RequestNews>) {
		this.exchange = new NewsExchange(options, {
			messageType: requestMessageType, refusalEvent: 'request quarantine message refused',
			repeatDelaysMs: {
				crash: [150], clearance: [150], quarantine: [250, 750], trial: trialRepeatDelaysMs,
			},
			format: formatRequestNews, parse: parseRequestNews,
		});
	}

	/** Announces a crash, in several messages if it broke many requests. */
	announceCrash(crash: RequestCrash): void {
		for (const requests of splitList(crash.requests, maximumRequestsPerMessage)) {
			this.announce({type: 'crash', crash: {...crash, requests}});
		}
	}

	/** Announces news other than a crash. */
	announce(news: RequestNews): void {
		this.exchange.announce(news);
	}
}
