/** Stand-in of the weight store. Up to two concurrent loads run at full speed each; more share that bandwidth. */

import {createServer, type Server, type ServerResponse} from 'node:http';
import {sendJson} from '../../http/send-json/index.js';

/** Speed and rate limit of the weight store. */
export type WeightStoreOptions = {
	/** Duration of a load at full speed, in milliseconds. */
	readonly loadMs: number;
	/** Maximum number of loads that may start within one second; more are refused with 429. */
	readonly loadsPerSecond: number;
};

const maximumFullSpeedLoads = 2;
const stepIntervalMs = 10;
const msPerSecond = 1000;

type Transfer = {remainingMs: number; readonly response: ServerResponse};

/** Serves weights at `GET /weights/{model}/{version}` and counts of loads at `GET /loads`. */
export class WeightStoreServer {
	readonly server: Server;
	/** Highest number of concurrent loads so far. */
	maximumLoads = 0;
	private totalLoads = 0;
	private refusedLoads = 0;
	private recentStartTimes: number[] = [];
	private readonly transfers = new Set<Transfer>();

	constructor(private readonly options: WeightStoreOptions) {
		this.server = createServer((message, response) => {
			if (message.url === '/loads') {
				const {maximumLoads, totalLoads, refusedLoads} = this;
				sendJson(response, 200, {
					active: this.transfers.size, maximumLoads, totalLoads, refusedLoads,
				});
			} else if (message.url?.startsWith('/weights/') === true) {
				this.startLoad(response);
			} else {
				sendJson(response, 404, {message: 'no such path'});
			}
		});
		let lastStepAt = performance.now();
		const timer = setInterval(() => {
			const now = performance.now();
			this.advanceTransfers(now - lastStepAt);
			lastStepAt = now;
		}, stepIntervalMs);
		this.server.once('close', () => {
			clearInterval(timer);
		});
	}

	private startLoad(response: ServerResponse): void {
		const now = performance.now();
		this.recentStartTimes = this.recentStartTimes.filter(startedAt => now - startedAt < msPerSecond);
		if (this.recentStartTimes.length >= this.options.loadsPerSecond) {
			this.refusedLoads += 1;
			sendJson(response, 429, {message: 'too many loads'}, {'retry-after': '1'});
			return;
		}

		this.recentStartTimes.push(now);
		const transfer: Transfer = {remainingMs: this.options.loadMs, response};
		this.transfers.add(transfer);
		response.once('close', () => {
			this.transfers.delete(transfer);
		});
		this.totalLoads += 1;
		this.maximumLoads = Math.max(this.maximumLoads, this.transfers.size);
	}

	private advanceTransfers(elapsedMs: number): void {
		const speed = Math.min(1, maximumFullSpeedLoads / Math.max(1, this.transfers.size));
		for (const transfer of this.transfers) {
			transfer.remainingMs -= elapsedMs * speed;
			if (transfer.remainingMs <= 0) {
				this.transfers.delete(transfer);
				sendJson(transfer.response, 200, {});
			}
		}
	}
}
