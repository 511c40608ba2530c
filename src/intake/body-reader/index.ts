/** Reads the bodies of calls within a budget of memory. */

import type {IncomingMessage} from 'node:http';
import type {Clock} from '../../clock/clock/index.js';
import {createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import {ByteCollector, calculateLargestHolding} from '../../streams/byte-collector/index.js';
import type {BodyBudget} from '../body-budget/index.js';
import type {BodyHolding, RefusalReason} from '../body-holding/index.js';

/** Time after which the caller of a body that found no memory may return, in seconds. */
const retryAfterSeconds = 1;

/** Body of one call. Call `release` when the call has ended. */
export class BodyReader {
	/** Limit of the body; undefined before `read`. */
	limitBytes: number | undefined;
	private holding: BodyHolding | undefined;

	constructor(private readonly message: IncomingMessage, private readonly budget: BodyBudget, private readonly clock: Pick<Clock, 'readMonotonic'>) {}

	/**
	 * Reads the whole body; throws `bodyTooLarge` above `limitBytes`, at once if the `content-length` header exceeds it,
	 * `overloaded` if there is no memory for it, and `requestTimeout` if it stands still. The connection stays open, so that
	 * an error response can be sent.
	 */
	async read(limitBytes: number): Promise<Buffer> {
		const {message, budget, clock} = this;
		this.limitBytes = limitBytes;
		if (Number(message.headers['content-length'] ?? 0) > limitBytes) {
			throw this.createSizeError(limitBytes);
		}

		return new Promise((resolve, reject) => {
			const collector = new ByteCollector();
			let isDone = false;
			const fail = (error: RouterError) => {
				if (isDone) {
					return;
				}

				isDone = true;
				message.off('data', addChunk);
				// What still arrives is dropped, not kept in the buffer of the message.
				message.resume();
				collector.clear();
				this.release();
				reject(error);
			};

			const addChunk = (chunk: Buffer) => {
				if (collector.sizeBytes + chunk.length > limitBytes) {
					fail(this.createSizeError(limitBytes));
					return;
				}

				collector.add(chunk);
				if (budget.charge(holding, collector.sizeBytes, collector.heldBytes)) {
					budget.refuseExcess(clock.readMonotonic());
				}
			};

			const finish = () => {
				if (isDone) {
					return;
				}

				isDone = true;
				const body = collector.take();
				budget.complete(holding, body.length);
				resolve(body);
			};

			const failBroken = (error?: Error) => {
				// Creating an error is expensive, and the event `close` also follows each complete body.
				if (!isDone) {
					fail(createRouterError('malformedRequest', 'the body broke off', {cause: error}));
				}
			};

			const holding = budget.open(calculateLargestHolding(limitBytes), reason => {
				fail(createRefusal(reason));
			}, clock.readMonotonic());
			this.holding = holding;
			message.on('data', addChunk);
			message.once('end', finish);
			message.once('error', failBroken);
			message.once('close', failBroken);
		});
	}

	/** Records that the call has ended; its body no longer counts. Has no effect the second time. */
	release(): void {
		if (this.holding !== undefined) {
			this.budget.release(this.holding);
			this.holding = undefined;
		}
	}

	private createSizeError(limitBytes: number): RouterError {
		this.budget.refusals.tooLarge += 1;
		return createRouterError('bodyTooLarge', `more than ${limitBytes} bytes`);
	}
}

function createRefusal(reason: RefusalReason): RouterError {
	return reason === 'memory'
		? createRouterError('overloaded', 'no memory for the request body', {retryAfterSeconds})
		: createRouterError('requestTimeout', 'the request body stands still');
}
