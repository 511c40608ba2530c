/**
 * Answers that their callers have not read. What a caller does not read stays in this process, up to the bound at which
 * reading from the target stops. A caller that reads nothing is given up when the memory is needed.
 */

import type {ServerResponse} from 'node:http';
import type {MonotonicMs} from '../../identity/ids/index.js';

/** Time without progress after which a caller counts as one that does not read, in milliseconds. */
const minimumSilenceMs = 1000;

/** An answer of which a part waits in this process, when it was last seen to go on. */
type WaitingAnswer = {writtenBytes: number; since: MonotonicMs};

/** Observes the answers of a listener. */
export class UnreadAnswers {
	/** Memory that unread answers took when they were last observed. */
	heldBytes = 0;
	private waiting = new Map<ServerResponse, WaitingAnswer>();

	constructor(private readonly listResponses: () => Iterable<ServerResponse>) {}

	/** Notes which answers wait, and since when they have made no progress. */
	observe(now: MonotonicMs): void {
		const waiting = new Map<ServerResponse, WaitingAnswer>();
		this.heldBytes = 0;
		for (const response of this.listResponses()) {
			if (response.writableLength > 0) {
				const writtenBytes = response.socket?.bytesWritten ?? 0;
				const earlier = this.waiting.get(response);
				waiting.set(response, earlier?.writtenBytes === writtenBytes ? earlier : {writtenBytes, since: now});
				this.heldBytes += response.writableLength;
			}
		}

		this.waiting = waiting;
	}

	/** Chooses the answer that takes most memory among those whose callers read nothing; undefined if there is none. */
	chooseToAbort(now: MonotonicMs): ServerResponse | undefined {
		let chosenResponse: ServerResponse | undefined;
		for (const [response, {since}] of this.waiting) {
			const isSilent = now - since >= minimumSilenceMs && !response.destroyed;
			if (isSilent && response.writableLength > (chosenResponse?.writableLength ?? 0)) {
				chosenResponse = response;
			}
		}

		return chosenResponse;
	}

	/** Stops counting an answer that is aborted. */
	remove(response: ServerResponse): void {
		if (this.waiting.delete(response)) {
			this.heldBytes -= response.writableLength;
		}
	}
}
