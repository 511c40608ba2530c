/** Tells all other live instances about engine crashes, cleared parts and quarantines of parts. */

import {splitList} from '../../peers/split-list/index.js';
import type {CrashReport} from '../crash-ledger/index.js';
import {NewsExchange, trialRepeatDelaysMs, type NewsExchangeOptions} from '../news-exchange/index.js';
import {
	formatNews, maximumPromptsPerMessage, parseNews, type QuarantineNews,
} from '../quarantine-messages/index.js';

/** Message type of the datagrams. */
export const quarantineMessageType = 'quarantine';
/** Time for which the prompts of one crash are collected, in milliseconds. Their connections break at almost the same time. */
const collectionDelayMs = 10;

/** Sends and receives news about crashes and quarantines. */
export class QuarantineExchange {
	private readonly exchange: NewsExchange<QuarantineNews>;
	/** Crashes whose prompts are being collected, by incarnation. */
	private readonly pendingCrashes = new Map<string, CrashReport>();

	constructor(private readonly options: NewsExchangeOptions<QuarantineNews>) {
		this.exchange = new NewsExchange(options, {
			messageType: quarantineMessageType, refusalEvent: 'quarantine message refused',
			repeatDelaysMs: {
				crash: [150], clearance: [150], quarantine: [250, 750], trial: trialRepeatDelaysMs,
			},
			format: formatNews, parse: parseNews,
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

	/** Announces news other than a crash. */
	announce(news: QuarantineNews): void {
		this.exchange.announce(news);
	}

	private async sendCrashAfterDelay(id: string): Promise<void> {
		await this.options.clock.sleep(collectionDelayMs);
		const crash = this.pendingCrashes.get(id)!;
		this.pendingCrashes.delete(id);
		for (const prompts of splitList(crash.prompts, maximumPromptsPerMessage)) {
			this.announce({type: 'crash', crash: {...crash, prompts}});
		}
	}
}
