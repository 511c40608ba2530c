/**
 * Connections to one peer address. JSON-RPC requests are sent as HTTP POST. A connection on which a call
 * times out is destroyed, and later calls use new connections.
 */

import {JSONRPCClient, type JSONRPCResponse} from 'json-rpc-2.0';
import {Pool} from 'undici';
import VError from 'verror';
import {SystemClock} from '../../clock/clock/index.js';
import {ByteCollector} from '../../streams/byte-collector/index.js';
import {AnswerDeadline} from '../answer-deadline/index.js';
import {bodyEncoding, decompressBody} from '../compress-body/index.js';
import type {PeerCallTimeout} from '../peer-caller/index.js';

/** Path of the JSON-RPC endpoint. */
export const rpcPath = '/rpc';
/** Header with the id of the calling instance. */
export const callerHeader = 'x-laburnumturn-from';
/** Header with the id of the instance that is expected to answer. */
export const calleeHeader = 'x-laburnumturn-to';

const maximumConnections = 4;
const keepAliveTimeoutMs = 30_000;
const maximumResponseBytes = 32 * 1024 * 1024;

/** Outcome and size of one finished call, for metrics. */
export type PeerTraffic = {
	readonly method: string;
	readonly outcome: 'answered' | 'failed' | 'deadline';
	readonly sentBytes: number;
	readonly receivedBytes: number;
};

/** Called after each finished call. */
export type PeerTrafficListener = (traffic: PeerTraffic) => void;

/** Caller, callee and timeout of a call. */
export type PeerCallOptions = PeerCallTimeout & {
	readonly from: string;
	/** Id of the callee; an instance with another id refuses the call. */
	readonly to?: string;
};

type CallState = PeerCallOptions & {readonly signal: AbortSignal; readonly deadline: AnswerDeadline; sentBytes: number; receivedBytes: number};

const clock = new SystemClock();

/** Pool of connections to one peer address. */
export class PeerLink {
	private pool: Pool;
	private readonly client: JSONRPCClient<CallState>;

	constructor(readonly address: string, private readonly onTraffic?: PeerTrafficListener) {
		this.pool = this.createPool();
		this.client = new JSONRPCClient<CallState>(async (payload, callState) => this.post(payload, callState));
	}

	/** Calls a method; rejects on a timeout, when the peer cannot be reached or when it answers with an error. */
	async call<Result>(method: string, parameters: unknown, options: PeerCallOptions): Promise<Result> {
		const {pool} = this;
		const controller = new AbortController();
		const deadline = new AnswerDeadline(options, clock.readMonotonic());
		const callState: CallState = {
			...options, signal: controller.signal, deadline, sentBytes: 0, receivedBytes: 0,
		};
		const stopTimer = startTimer(deadline, controller);
		let outcome: PeerTraffic['outcome'] = 'failed';
		try {
			const result = await this.client.request(method, parameters, callState) as Result;
			outcome = 'answered';
			return result;
		} catch (error) {
			if (callState.signal.aborted) {
				outcome = 'deadline';
				if (this.pool === pool) {
					this.replaceConnections();
				}
			}

			throw new VError({name: 'PeerCallError', cause: error as Error, info: {outcome}}, 'call to method %s at %s failed', method, this.address);
		} finally {
			stopTimer();
			this.onTraffic?.({
				method, outcome, sentBytes: callState.sentBytes, receivedBytes: callState.receivedBytes,
			});
		}
	}

	/** Lets later calls use new connections, because the idle ones may be dead. Calls in flight on them keep their own timeouts. */
	replaceConnections(): void {
		const {pool} = this;
		this.pool = this.createPool();
		void pool.close();
	}

	/** Destroys all connections. */
	async close(): Promise<void> {
		await this.pool.destroy();
	}

	private async post(payload: unknown, callState: CallState): Promise<void> {
		const body = JSON.stringify(payload);
		callState.sentBytes = Buffer.byteLength(body);
		const headers: Record<string, string> = {'content-type': 'application/json', 'accept-encoding': bodyEncoding, [callerHeader]: callState.from};
		if (callState.to !== undefined) {
			headers[calleeHeader] = callState.to;
		}

		const response = await this.pool.request({
			method: 'POST', path: rpcPath, headers, body, signal: callState.signal,
		});
		const collector = new ByteCollector();
		callState.deadline.recordPart(clock.readMonotonic());
		for await (const part of response.body as AsyncIterable<Buffer>) {
			callState.deadline.recordPart(clock.readMonotonic());
			collector.add(part);
		}

		const bytes = collector.take();
		callState.receivedBytes = bytes.length;
		const text = await decompressBody({bytes, encoding: String(response.headers['content-encoding'])}, maximumResponseBytes);
		if (response.statusCode !== 200) {
			throw new VError('peer responded with status %d: %s', response.statusCode, text.slice(0, 200));
		}

		this.client.receive(JSON.parse(text) as JSONRPCResponse);
	}

	private createPool(): Pool {
		return new Pool(`http://${this.address}`, {
			connections: maximumConnections, pipelining: 1, keepAliveTimeout: keepAliveTimeoutMs, maxResponseSize: maximumResponseBytes,
		});
	}
}

/** Aborts a call at its deadline, which may move while the answer arrives. Returns a function that stops this. */
function startTimer(deadline: AnswerDeadline, controller: AbortController): () => void {
	let timer: NodeJS.Timeout;
	const check = () => {
		const remainingMs = deadline.measureRemainingMs(clock.readMonotonic());
		if (remainingMs <= 0) {
			controller.abort();
		} else {
			timer = setTimeout(check, Math.ceil(remainingMs));
			timer.unref();
		}
	};

	check();
	return () => {
		clearTimeout(timer);
	};
}
