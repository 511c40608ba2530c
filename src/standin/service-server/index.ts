/** Stand-in of a plain service: it counts how often each call ran. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {readBody} from '../../http/read-body/index.js';
import {sendJson} from '../../http/send-json/index.js';
import {takeFault} from '../engine-faults/index.js';
import {createServiceFaults, type ServiceFaults} from '../service-faults/index.js';

const bodyLimitBytes = 64_000_000;
const largeChunkBytes = 65_536;

/** A stand-in service. Each call is counted under its header `x-call-id`; `GET /runs` returns the counts and what was seen. */
export class ServiceServer {
	readonly server: Server;
	readonly faults: ServiceFaults = createServiceFaults();
	/** Runs by call id: the ground truth of tests. */
	readonly runs = new Map<string, number>();
	/** Header lines, paths and bodies received, for checks that no key reaches a target. */
	readonly seen = new Set<string>();
	/** Calls that arrived on a connection that had carried a call before. */
	reusedConnections = 0;
	private readonly used = new WeakSet<Socket>();

	constructor(private readonly name: string) {
		this.server = createServer((message, response) => {
			void this.serve(message, response).catch((error: unknown) => {
				response.destroy(error as Error);
			});
		});
		this.server.on('connection', socket => {
			if (takeFault(this.faults, 'resetsOnConnect')) {
				socket.resetAndDestroy();
			}
		});
	}

	private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const isControl = message.url === '/faults' || message.url === '/runs';
		if (!isControl && takeFault(this.faults, 'earlyAnswers')) {
			response.shouldKeepAlive = false;
			sendJson(response, 413, {message: 'too large'});
			return;
		}

		const body = await readBody(message, bodyLimitBytes);
		if (message.url === '/faults') {
			Object.assign(this.faults, JSON.parse(body.toString('utf8')));
			sendJson(response, 200, this.faults);
			return;
		}

		if (message.url === '/runs') {
			sendJson(response, 200, {runs: Object.fromEntries(this.runs), headers: [...this.seen], reusedConnections: this.reusedConnections});
			return;
		}

		this.noteCall(message, body);
		if (this.refuse(message, response)) {
			return;
		}

		await this.run(message, body, response);
	}

	private noteCall(message: IncomingMessage, body: Buffer): void {
		this.reusedConnections += this.used.has(message.socket) ? 1 : 0;
		this.used.add(message.socket);
		this.seen.add(message.url ?? '');
		this.seen.add(body.subarray(0, largeChunkBytes).toString('latin1'));
		for (const [header, value] of Object.entries(message.headers)) {
			this.seen.add(`${header}: ${String(value)}`);
		}
	}

	/** Ends the call without running it when a fault asks for that. */
	private refuse(message: IncomingMessage, response: ServerResponse): boolean {
		if (takeFault(this.faults, 'resetsBeforeRun')) {
			message.socket.resetAndDestroy();
			return true;
		}

		if (takeFault(this.faults, 'refusals')) {
			sendJson(response, 503, {message: 'busy'}, {'x-not-run': 'true'});
			return true;
		}

		return false;
	}

	private async run(message: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
		const callId = String(message.headers['x-call-id'] ?? '');
		this.runs.set(callId, (this.runs.get(callId) ?? 0) + 1);
		if (takeFault(this.faults, 'lostAnswers')) {
			message.socket.resetAndDestroy();
			return;
		}

		if (takeFault(this.faults, 'interimAnswers')) {
			response.writeContinue();
		}

		if (this.faults.delayMs > 0) {
			await delay(this.faults.delayMs);
		}

		const text = JSON.stringify({
			service: this.name, callId, method: message.method, path: message.url, bytes: body.length,
		});
		if (takeFault(this.faults, 'brokenBodies')) {
			sendHalf(response, text);
			await delay(1);
			message.socket.resetAndDestroy();
			return;
		}

		if (takeFault(this.faults, 'silentBodies')) {
			sendHalf(response, text);
			return;
		}

		const wantedBytes = Number(new URL(message.url ?? '/', 'http://localhost').searchParams.get('bytes') ?? 0);
		if (wantedBytes > 0) {
			await sendLarge(response, wantedBytes);
			return;
		}

		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
		response.end(text);
	}
}

function sendHalf(response: ServerResponse, text: string): void {
	response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.write(text.slice(0, text.length / 2));
}

async function sendLarge(response: ServerResponse, bytes: number): Promise<void> {
	response.writeHead(200, {'content-type': 'application/octet-stream'});
	for (let sent = 0; sent < bytes && !response.destroyed; sent += largeChunkBytes) {
		if (!response.write(Buffer.alloc(Math.min(largeChunkBytes, bytes - sent), 'x'))) {
			await new Promise<void>(resolve => {
				response.once('drain', resolve);
				response.once('close', resolve);
			});
		}
	}

	response.end();
}
