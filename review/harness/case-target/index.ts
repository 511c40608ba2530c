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
};

const slots = 64;

/** A worker. */
export class CaseTarget {
	/** Requests that have run. */
	readonly runs: Run[] = [];
	/** Whether all answers say that the worker is leaving. */
	isLeaving = false;
	private address = '';
	private readonly startedAt = Date.now();
	private readonly server = createServer((message, response) => {
		void this.serve(message, response);
	});

	constructor(readonly options: CaseTargetOptions) {}

	/** Listens at a free port of the loopback address; returns `host:port`. */
	async listen(): Promise<string> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
		return this.address;
	}

	/** The entry that the worker writes to the store. */
	buildEntry(state: 'ready' | 'draining' = 'ready'): unknown {
		const {service, zone, model} = this.options;
		return {
			service, zone, address: this.address, version: '1', slots, state, 'cold-remaining-ms': 0, sequence: 0, born: this.startedAt,
			...(model && {stage: 'colocated', models: [{...model, adapters: []}]}),
		};
	}

	close(): void {
		this.server.closeAllConnections();
		this.server.close();
	}

	private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const {id: target, record, respond, model} = this.options;
		response.on('error', () => {
			// The caller has gone; `close` follows.
		});
		try {
			await discard(message);
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
				stage: 'colocated', models: model === undefined ? [] : [{...model, adapters: []}], busy: false, sequence: 0, waiting: 0, running: 0, 'kv-used': 0,
				'kv-total': 100_000, handles: 0,
			}));
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
}

/** Reads the body of a request. Rejects if it breaks off, so that the request does not run. */
async function discard(message: IncomingMessage): Promise<void> {
	for await (const _chunk of message) {
		// Only its end matters.
	}
}
