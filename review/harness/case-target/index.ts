/** A worker that registers in the store and answers as the pages say. Each case says how it answers a request. */

import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {once} from 'node:events';
import type {CaseRecord} from '../case-record/index.js';

/** A request that a worker runs. */
export type Run = {readonly id: string; readonly path: string; readonly tenant: string | undefined; readonly target: string; readonly at: number};

/** Answers a request that runs. The headers that every answer has are set. */
export type Responder = (run: Run, message: IncomingMessage, response: ServerResponse) => void | Promise<void>;

/** Options of a worker. `model`: name and version of the model of an engine. */
export type CaseTargetOptions = {
	readonly id: string;
	readonly service: string;
	readonly zone: string;
	readonly record: CaseRecord;
	readonly respond: Responder;
	readonly model?: {readonly name: string; readonly version: number};
	/** Called when the entry of the worker has changed. */
	readonly onChange?: () => void;
};

/** An order that arrived. */
export type ReceivedOrder = {readonly holder: string; readonly fence: number; readonly version: number; readonly at: number};

const slots = 64;
const loadMs = 400;

/** A worker. */
export class CaseTarget {
	/** Requests that have run. */
	readonly runs: Run[] = [];
	/** Orders that arrived, whether they were accepted or not. */
	readonly orders: ReceivedOrder[] = [];
	/** Whether all answers say that the worker is leaving. */
	isLeaving = false;
	private address = '';
	private isLoading = false;
	private acceptedOrders = 0;
	private version: number;
	private readonly startedAt = Date.now();
	private readonly server = createServer((message, response) => {
		void this.serve(message, response);
	});

	constructor(readonly options: CaseTargetOptions) {
		this.version = options.model?.version ?? 0;
	}

	/** Listens at a free port of the loopback address; returns `host:port`. */
	async listen(): Promise<string> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
		return this.address;
	}

	/** The entry that the worker writes to the store. */
	buildEntry(state: 'ready' | 'draining' = 'ready'): unknown {
		const {service, zone} = this.options;
		return {
			service, zone, address: this.address, version: '1', slots, state, 'cold-remaining-ms': 0, sequence: this.acceptedOrders, born: this.startedAt,
			stage: 'colocated', models: this.listModels(),
		};
	}

	close(): void {
		this.server.closeAllConnections();
		this.server.close();
	}

	private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const {id: target, record, respond} = this.options;
		response.on('error', () => {
			// The caller has gone; `close` follows.
		});
		let body: string;
		try {
			body = await readBody(message);
		} catch {
			return;
		}

		const id = message.headers['x-laburnumturn-request-id'];
		const path = message.url ?? '';
		response.setHeader('x-laburnumturn-instance-id', target);
		if (this.isLeaving) {
			response.setHeader('server-leaving', '1');
		}

		if ((message.headers['x-laburnumturn-expect-instance'] ?? target) !== target) {
			response.writeHead(421, {'x-laburnumturn-not-executed': 'true'}).end();
		} else if (path === '/-/report') {
			response.end(JSON.stringify({
				stage: 'colocated', models: this.listModels(), busy: this.isLoading, sequence: this.acceptedOrders, waiting: 0, running: 0, 'kv-used': 0,
				'kv-total': 100_000, handles: 0,
			}));
		} else if (path === '/-/order') {
			response.writeHead(this.takeOrder(body)).end();
		} else if (typeof id === 'string') {
			const run = {
				id, path, tenant: message.headers['x-laburnumturn-tenant'] as string | undefined, target, at: Date.now(),
			};
			this.runs.push(run);
			record.note('run', {id, target, path});
			response.setHeader('x-laburnumturn-request-id', id);
			response.setHeader('x-laburnumturn-server-seal', `${target}.${id}`);
			await respond(run, message, response);
		} else {
			response.writeHead(400, {'x-laburnumturn-not-executed': 'true'}).end();
		}
	}

	private listModels(): unknown[] {
		const {model} = this.options;
		return model === undefined ? [] : [{name: model.name, version: this.version, adapters: []}];
	}

	/** Takes an order to load other weights; returns the status of the answer. */
	private takeOrder(body: string): number {
		const {id, record, onChange} = this.options;
		const {holder, fence, version, precondition} = JSON.parse(body) as ReceivedOrder & {readonly precondition?: number};
		this.orders.push({
			holder, fence, version, at: Date.now(),
		});
		record.note('order', {
			target: id, holder, fence, version,
		});
		if (this.isLoading || (precondition ?? this.acceptedOrders) !== this.acceptedOrders) {
			return 409;
		}

		if (version <= this.version) {
			return 200;
		}

		this.acceptedOrders += 1;
		this.isLoading = true;
		setTimeout(() => {
			this.isLoading = false;
			this.version = version;
			onChange?.();
		}, loadMs);
		return 202;
	}
}

/** Reads the body of a request. Rejects if it breaks off, so that the request does not run. */
async function readBody(message: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = [];
	for await (const chunk of message) {
		chunks.push(chunk as Buffer);
	}

	return Buffer.concat(chunks).toString();
}
