/** Stand-in of the weight store: two loads at full speed, more of them share that speed. */

import {createServer, type Server, type ServerResponse} from 'node:http';
import {sendJson} from '../../http/send-json/index.js';

/** Rates of the stand-in. */
export type WeightStoreOptions = {
	/** Time of a load at full speed, in milliseconds. */
	readonly loadMs: number;
	/** Loads begun in one second; more are refused with 429. */
	readonly loadsPerSecond: number;
};

const fullSpeedLoads = 2;
const stepMs = 10;
const msPerSecond = 1000;

type Transfer = {remainingMs: number; readonly response: ServerResponse};

/** Weight store at `GET /weights/{model}/{version}`; `GET /loads` tells the loads so far. */
export class WeightStoreServer {
	readonly server: Server;
	/** Most loads at a time so far. */
	maximumLoads = 0;
	private totalLoads = 0;
	private refusedLoads = 0;
	private recentStarts: number[] = [];
	private readonly transfers = new Set<Transfer>();

	constructor(private readonly options: WeightStoreOptions) {
		this.server = createServer((message, response) => {
			if (message.url === '/loads') {
				const {maximumLoads, totalLoads, refusedLoads} = this;
				sendJson(response, 200, {
					active: this.transfers.size, maximumLoads, totalLoads, refusedLoads,
				});
			} else if (message.url?.startsWith('/weights/') === true) {
				this.beginLoad(response);
			} else {
				sendJson(response, 404, {message: 'no such path'});
			}
		});
		let steppedAt = performance.now();
		const timer = setInterval(() => {
			const now = performance.now();
			this.advance(now - steppedAt);
			steppedAt = now;
		}, stepMs);
		this.server.once('close', () => {
			clearInterval(timer);
		});
	}

	private beginLoad(response: ServerResponse): void {
		const now = performance.now();
		this.recentStarts = this.recentStarts.filter(startedAt => now - startedAt < msPerSecond);
		if (this.recentStarts.length >= this.options.loadsPerSecond) {
			this.refusedLoads += 1;
			sendJson(response, 429, {message: 'too many loads'}, {'retry-after': '1'});
			return;
		}

		this.recentStarts.push(now);
		const transfer: Transfer = {remainingMs: this.options.loadMs, response};
		this.transfers.add(transfer);
		response.once('close', () => {
			this.transfers.delete(transfer);
		});
		this.totalLoads += 1;
		this.maximumLoads = Math.max(this.maximumLoads, this.transfers.size);
	}

	private advance(passedMs: number): void {
		const speed = Math.min(1, fullSpeedLoads / Math.max(1, this.transfers.size));
		for (const transfer of this.transfers) {
			transfer.remainingMs -= passedMs * speed;
			if (transfer.remainingMs <= 0) {
				this.transfers.delete(transfer);
				sendJson(transfer.response, 200, {});
			}
		}
	}
}
