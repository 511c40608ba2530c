/** Stand-in of a service other than an engine. It counts the runs of each call. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {readBody} from '../../http/read-body/index.js';
import {sendJson} from '../../http/send-json/index.js';
import {consumeFault} from '../engine-faults/index.js';
import {createServiceFaults, type ServiceFaults} from '../service-faults/index.js';

const bodyLimitBytes = 64_000_000;
const largeChunkBytes = 65_536;

/** A stand-in service. It counts runs by the header `x-call-id`; `GET /runs` returns the counts and the texts received. */
export class ServiceServer {
	readonly server: Server;
	readonly faults: ServiceFaults = createServiceFaults();
	/** Number of runs per call id, against which tests check the router's answers. */
	readonly runs = new Map<string, number>();
	/** Header lines, paths and starts of bodies received, to check that no key reaches a target. */
	readonly receivedTexts = new Set<string>();
	/** Number of calls that arrived on a connection that had carried an earlier call. */
	reusedConnections = 0;
	private readonly usedSockets = new WeakSet<Socket>();

	constructor(private readonly name: string) {
		this.server = createServer((message, response) => {
			void this.serve(message, response).catch((error: unknown) => {
				response.destroy(error as Error);
			});
		});
		this.server.on('connection', socket => {
			if (consumeFault(this.faults, 'resetsOnConnect')) {
				socket.resetAndDestroy();
			}
		});
	}

	private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const isControlRequest = message.url === '/faults' || message.url === '/runs';
		if (!isControlRequest && consumeFault(this.faults, 'earlyAnswers')) {
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
			sendJson(response, 200, {runs: Object.fromEntries(this.runs), headers: [...this.receivedTexts], reusedConnections: this.reusedConnections});
			return;
		}

		this.recordCall(message, body);
		if (this.refuseIfFaulty(message, response)) {
			return;
		}

		await this.run(message, body, response);
	}

	private recordCall(message: IncomingMessage, body: Buffer): void {
		this.reusedConnections += this.usedSockets.has(message.socket) ? 1 : 0;
		this.usedSockets.add(message.socket);
		this.receivedTexts.add(message.url ?? '');
		this.receivedTexts.add(body.subarray(0, largeChunkBytes).toString('latin1'));
		for (const [header, value] of Object.entries(message.headers)) {
			this.receivedTexts.add(`${header}: ${String(value)}`);
		}
	}

	/** Ends the call without running it if a fault is to occur; returns whether it did. */
	private refuseIfFaulty(message: IncomingMessage, response: ServerResponse): boolean {
		if (consumeFault(this.faults, 'resetsBeforeRun')) {
			message.socket.resetAndDestroy();
			return true;
		}

		if (consumeFault(this.faults, 'refusals')) {
			sendJson(response, 503, {message: 'busy'}, {'x-not-run': 'true'});
			return true;
		}

		return false;
	}

	private async run(message: IncomingMessage, body: Buffer, response: ServerResponse): Promise<void> {
		const callId = String(message.headers['x-call-id'] ?? '');
		this.runs.set(callId, (this.runs.get(callId) ?? 0) + 1);
		if (consumeFault(this.faults, 'lostAnswers')) {
			message.socket.resetAndDestroy();
			return;
		}

		if (consumeFault(this.faults, 'interimAnswers')) {
			response.writeContinue();
		}

		if (this.faults.delayMs > 0) {
			await delay(this.faults.delayMs);
		}

		const text = JSON.stringify({
			service: this.name, callId, method: message.method, path: message.url, bytes: body.length,
		});
		if (consumeFault(this.faults, 'brokenBodies')) {
			sendHalfBody(response, text);
			await delay(1);
			message.socket.resetAndDestroy();
			return;
		}

		if (consumeFault(this.faults, 'silentBodies')) {
			sendHalfBody(response, text);
			return;
		}

		const requestedBytes = Number(new URL(message.url ?? '/', 'http://localhost').searchParams.get('bytes') ?? 0);
		if (requestedBytes > 0) {
			await sendLargeBody(response, requestedBytes);
			return;
		}

		response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
		response.end(text);
	}
}

function sendHalfBody(response: ServerResponse, text: string): void {
	response.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.write(text.slice(0, text.length / 2));
}

async function sendLargeBody(response: ServerResponse, bytes: number): Promise<void> {
	response.writeHead(200, {'content-type': 'application/octet-stream'});
	for (let sentBytes = 0; sentBytes < bytes && !response.destroyed; sentBytes += largeChunkBytes) {
		if (!response.write(Buffer.alloc(Math.min(largeChunkBytes, bytes - sentBytes), 'x'))) {
			await new Promise<void>(resolve => {
				response.once('drain', resolve);
				response.once('close', resolve);
			});
		}
	}

	response.end();
}
