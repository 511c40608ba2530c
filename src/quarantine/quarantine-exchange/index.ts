/**
 * Tells all other live instances about crashes, cleared parts and quarantines, by datagrams that are repeated because
 * some are lost. Crashes are rare, and a clearance is sent only while there is evidence to clear, so the volume is low.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {sendRepeatedly} from '../../peers/send-repeatedly/index.js';
import type {CrashReport} from '../crash-ledger/index.js';
import {
	formatNews, maximumPromptsPerMessage, parseNews, type QuarantineNews,
} from '../quarantine-messages/index.js';

/** Message type of the datagrams. */
export const quarantineMessageType = 'quarantine';
/** Time for which the prompts of one crash are collected, in milliseconds. Their connections break at almost the same time. */
const collectionDelayMs = 10;
/** Pauses before a message is sent again, in milliseconds. */
const repeatDelaysMs: Readonly<Record<QuarantineNews['type'], readonly number[]>> = {crash: [150], clearance: [150], quarantine: [250, 750]};

/** Options of `QuarantineExchange`. */
export type QuarantineExchangeOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
	/** Called for each message of another instance. */
	readonly onNews: (news: QuarantineNews, now: MonotonicMs) => void;
};

/** Sends and receives news about crashes and quarantines. */
export class QuarantineExchange {
	/** Crashes whose prompts are being collected, by incarnation. */
	private readonly pendingCrashes = new Map<string, CrashReport>();

	constructor(private readonly options: QuarantineExchangeOptions) {
		options.channel.register(quarantineMessageType, body => {
			this.receive(body);
		});
	}

	/** Announces a crash after a short time in which the prompts of its other calls are added. */
	announceCrash(crash: CrashReport): void {
		const id = `${crash.target} ${crash.startedAt}`;
		const pending = this.pendingCrashes.get(id);
		this.pendingCrashes.set(id, pending === undefined ? crash : {...pending, prompts: [...pending.prompts, ...crash.prompts]});
		if (pending === undefined) {
			void this.sendCrashAfterDelay(id);
		}
	}

	/** Announces a clearance or a quarantine. */
	announce(news: QuarantineNews): void {
		void this.sendAndRepeat(news);
	}

	private async sendCrashAfterDelay(id: string): Promise<void> {
		await this.options.clock.sleep(collectionDelayMs);
		const crash = this.pendingCrashes.get(id)!;
		this.pendingCrashes.delete(id);
		for (let offset = 0; offset < crash.prompts.length; offset += maximumPromptsPerMessage) {
			this.announce({type: 'crash', crash: {...crash, prompts: crash.prompts.slice(offset, offset + maximumPromptsPerMessage)}});
		}
	}

	private async sendAndRepeat(news: QuarantineNews): Promise<void> {
		await sendRepeatedly(() => {
			this.send(news);
		}, repeatDelaysMs[news.type], this.options.clock);
	}

	private send(news: QuarantineNews): void {
		const {clock, channel, listPeers} = this.options;
		channel.send(listPeers().map(peer => peer.peerAddress), quarantineMessageType, formatNews(news, clock.readMonotonic()));
	}

	private receive(body: unknown): void {
		const {clock, logger, onNews} = this.options;
		const now = clock.readMonotonic();
		let news: QuarantineNews;
		try {
			news = parseNews(body, now);
		} catch (error) {
			logger.warn('quarantine message refused', {reason: (error as Error).message});
			return;
		}

		onNews(news, now);
	}
}
