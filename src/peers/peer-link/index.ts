/**
 * Connections to one peer address. JSON-RPC requests travel as HTTP POST; a connection that misses
 * a deadline is destroyed, and later calls use new connections.
 */

import {JSONRPCClient, type JSONRPCResponse} from 'json-rpc-2.0';
import {Pool} from 'undici';
import VError from 'verror';

/** Path of the JSON-RPC endpoint. */
export const rpcPath = '/rpc';
/** Header with the id of the calling instance. */
export const callerHeader = 'x-laburnumturn-from';
/** Header with the id of the instance that is meant to answer. */
export const calleeHeader = 'x-laburnumturn-to';

const connectionsPerPeer = 4;
const keepAliveMs = 30_000;
const maximumAnswerBytes = 32 * 1024 * 1024;

/** One finished call, for metrics. */
export type PeerTraffic = {
	readonly method: string;
	readonly outcome: 'answered' | 'failed' | 'deadline';
	readonly sentBytes: number;
	readonly receivedBytes: number;
};

/** Receives the traffic of calls. */
export type PeerTrafficListener = (traffic: PeerTraffic) => void;

/** Who calls whom, and until when. */
export type PeerCallOptions = {
	readonly from: string;
	/** The peer refuses the call when it is another instance. */
	readonly to?: string;
	readonly timeoutMs: number;
};

type Exchange = PeerCallOptions & {readonly signal: AbortSignal; sentBytes: number; receivedBytes: number};

/** Link to one peer address. */
export class PeerLink {
	private pool: Pool;
	private readonly client: JSONRPCClient<Exchange>;

	constructor(readonly address: string, private readonly onTraffic?: PeerTrafficListener) {
		this.pool = this.createPool();
		this.client = new JSONRPCClient<Exchange>(async (payload, exchange) => this.post(payload, exchange));
	}

	/** Calls a method; rejects when the deadline passes, the peer cannot be reached or it answers with an error. */
	async call<Result>(method: string, parameters: unknown, options: PeerCallOptions): Promise<Result> {
		const {pool} = this;
		const exchange: Exchange = {
			...options, signal: AbortSignal.timeout(options.timeoutMs), sentBytes: 0, receivedBytes: 0,
		};
		let outcome: PeerTraffic['outcome'] = 'failed';
		try {
			const result = await this.client.request(method, parameters, exchange) as Result;
			outcome = 'answered';
			return result;
		} catch (error) {
			if (exchange.signal.aborted) {
				outcome = 'deadline';
				this.replacePool(pool);
			}

			throw new VError({name: 'PeerCallError', cause: error as Error, info: {outcome}}, 'call of %s at %s failed', method, this.address);
		} finally {
			this.onTraffic?.({
				method, outcome, sentBytes: exchange.sentBytes, receivedBytes: exchange.receivedBytes,
			});
		}
	}

	/** Destroys all connections. */
	async close(): Promise<void> {
		await this.pool.destroy();
	}

	private async post(payload: unknown, exchange: Exchange): Promise<void> {
		const body = JSON.stringify(payload);
		exchange.sentBytes = Buffer.byteLength(body);
		const headers: Record<string, string> = {'content-type': 'application/json', [callerHeader]: exchange.from};
		if (exchange.to !== undefined) {
			headers[calleeHeader] = exchange.to;
		}

		const answer = await this.pool.request({
			method: 'POST', path: rpcPath, headers, body, signal: exchange.signal,
		});
		const text = await answer.body.text();
		exchange.receivedBytes = Buffer.byteLength(text);
		if (answer.statusCode !== 200) {
			throw new VError('status %d: %s', answer.statusCode, text.slice(0, 200));
		}

		this.client.receive(JSON.parse(text) as JSONRPCResponse);
	}

	/** The other idle connections may be silent too. Calls in progress on them keep their own deadlines. */
	private replacePool(pool: Pool): void {
		if (this.pool === pool) {
			this.pool = this.createPool();
			void pool.close();
		}
	}

	private createPool(): Pool {
		return new Pool(`http://${this.address}`, {
			connections: connectionsPerPeer, pipelining: 1, keepAliveTimeout: keepAliveMs, maxResponseSize: maximumAnswerBytes,
		});
	}
}
