/** Stand-in of the weight store. Up to two concurrent loads run at full speed each; more share that bandwidth. */

import {createServer, type Server, type ServerResponse} from 'node:http';
import {sendJson} from '../../http/send-json/index.js';
import {SharedBandwidth} from '../shared-bandwidth/index.js';

/** Speed and rate limit of the weight store. */
export type WeightStoreOptions = {
	/** Duration of a load at full speed, in milliseconds. */
	readonly loadMs: number;
	/** Maximum number of loads that may start within one second; more are refused with 429. */
	readonly loadsPerSecond: number;
	/** Time by which loads are counted, in milliseconds; the monotonic clock by default. */
	readonly readMonotonic?: () => number;
};

const maximumFullSpeedLoads = 2;
const stepIntervalMs = 10;
const msPerSecond = 1000;

/** Serves weights at `GET /weights/{model}/{version}` and counts of loads at `GET /loads`. */
export class WeightStoreServer {
	readonly server: Server;
	/** Highest number of concurrent loads so far. */
	maximumLoads = 0;
	private totalLoads = 0;
	private refusedLoads = 0;
	private recentStartTimes: number[] = [];
	private readonly transfers = new SharedBandwidth<ServerResponse>(maximumFullSpeedLoads);

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
			for (const response of this.transfers.advance(now - lastStepAt)) {
				sendJson(response, 200, {});
			}

			lastStepAt = now;
		}, stepIntervalMs);
		this.server.once('close', () => {
			clearInterval(timer);
		});
	}

	private startLoad(response: ServerResponse): void {
		const now = this.options.readMonotonic?.() ?? performance.now();
		this.recentStartTimes = this.recentStartTimes.filter(startedAt => now - startedAt < msPerSecond);
		if (this.recentStartTimes.length >= this.options.loadsPerSecond) {
			this.refusedLoads += 1;
			sendJson(response, 429, {message: 'too many loads'}, {'retry-after': '1'});
			return;
		}

		this.recentStartTimes.push(now);
		this.transfers.add(response, this.options.loadMs);
		response.once('close', () => {
			this.transfers.remove(response);
		});
		this.totalLoads += 1;
		this.maximumLoads = Math.max(this.maximumLoads, this.transfers.size);
	}
}
