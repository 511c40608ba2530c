/** Tells all other live instances about crashes, clearances, quarantines and trials of requests, by datagrams that are repeated because some are lost. */

import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {sendRepeatedly} from '../../peers/send-repeatedly/index.js';
import type {RequestCrash} from '../request-ledger/index.js';
import {
	formatRequestNews, maximumRequestsPerMessage, parseRequestNews, type RequestNews,
} from '../request-messages/index.js';

/** Message type of the datagrams. */
export const requestMessageType = 'request-quarantine';
/** Pauses before a message is sent again, in milliseconds. Trials are repeated while objections count. */
const repeatDelaysMs: Readonly<Record<RequestNews['type'], readonly number[]>> = {
	crash: [150], clearance: [150], quarantine: [250, 750], trial: [80, 80],
};

/** Options of `RequestExchange`. */
export type RequestExchangeOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	/** Called for each message of another instance. */
	readonly onNews: (news: RequestNews, now: MonotonicMs) => void;
};

/** Sends and receives news about requests that crash targets. */
export class RequestExchange {
	constructor(private readonly options: RequestExchangeOptions) {
		options.channel.register(requestMessageType, body => {
			this.receive(body);
		});
	}

	/** Announces a crash, in several messages if it broke many requests. */
	announceCrash(crash: RequestCrash): void {
		for (let offset = 0; offset < crash.requests.length; offset += maximumRequestsPerMessage) {
			this.announce({type: 'crash', crash: {...crash, requests: crash.requests.slice(offset, offset + maximumRequestsPerMessage)}});
		}
	}

	/** Announces news, and repeats them. */
	announce(news: RequestNews): void {
		void sendRepeatedly(() => {
			this.send(news);
		}, repeatDelaysMs[news.type], this.options.clock);
	}

	private send(news: RequestNews): void {
		const {clock, channel, listPeers} = this.options;
		channel.send(listPeers().map(peer => peer.peerAddress), requestMessageType, formatRequestNews(news, clock.readMonotonic()));
	}

	private receive(body: unknown): void {
		const {clock, logger, onNews} = this.options;
		const now = clock.readMonotonic();
		let news: RequestNews;
		try {
			news = parseRequestNews(body, now);
		} catch (error) {
			logger.warn('request quarantine message refused', {reason: (error as Error).message});
			return;
		}

		onNews(news, now);
	}
}
