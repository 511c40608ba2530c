/**
 * Tells all other live instances about crashes and quarantines, by datagrams that are repeated because some are lost.
 * Crashes are rare, and a clearance is sent only while there is evidence to clear, so the volume is low.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {sendRepeatedly} from '../../peers/send-repeatedly/index.js';

/** Pauses before a trial is announced again, in milliseconds. It is repeated while objections count. */
export const trialRepeatDelaysMs: readonly number[] = [80, 80];

/** News of one kind on the wire. */
export type NewsFormat<News extends {readonly type: string}> = {
	/** Message type of the datagrams. */
	readonly messageType: string;
	/** Event that is logged for a malformed message. */
	readonly refusalEvent: string;
	/** Pauses before a message is sent again, in milliseconds. */
	readonly repeatDelaysMs: Readonly<Record<News['type'], readonly number[]>>;
	/** Formats news as they are sent at `now`. */
	format(news: News, now: MonotonicMs): unknown;
	/** Parses a message received at `now`. Throws a `TypeError` if it is malformed. */
	parse(body: unknown, now: MonotonicMs): News;
};

/** Options of each exchange of news. */
export type NewsExchangeOptions<News> = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	/** Called for each message of another instance. */
	readonly onNews: (news: News, now: MonotonicMs) => void;
};

/** Sends and receives news of one kind. */
export class NewsExchange<News extends {readonly type: string}> {
	constructor(private readonly options: NewsExchangeOptions<News>, private readonly newsFormat: NewsFormat<News>) {
		options.channel.register(newsFormat.messageType, body => {
			this.receive(body);
		});
	}

	/** Announces news, and repeats them. */
	announce(news: News): void {
		const delaysMs = this.newsFormat.repeatDelaysMs[news.type as News['type']];
		void sendRepeatedly(() => {
			this.send(news);
		}, delaysMs, this.options.clock);
	}

	private send(news: News): void {
		const {clock, channel, listPeers} = this.options;
		const {messageType} = this.newsFormat;
		channel.send(listPeers().map(peer => peer.peerAddress), messageType, this.newsFormat.format(news, clock.readMonotonic()));
	}

	private receive(body: unknown): void {
		const {clock, logger, onNews} = this.options;
		const now = clock.readMonotonic();
		let news: News;
		try {
			news = this.newsFormat.parse(body, now);
		} catch (error) {
			logger.warn(this.newsFormat.refusalEvent, {reason: (error as Error).message});
			return;
		}

		onNews(news, now);
	}
}
