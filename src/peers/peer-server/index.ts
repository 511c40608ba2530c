/** Server for calls from other instances: JSON-RPC 2.0 over HTTP POST. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {JSONRPCServer, type JSONRPCRequest} from 'json-rpc-2.0';
import {SystemClock} from '../../clock/clock/index.js';
import {discardRemainingBody} from '../../http/discard-remaining-body/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {parseJsonBody} from '../../http/read-body/index.js';
import {sendJson} from '../../http/send-json/index.js';
import {stopListening} from '../../http/stop-listening/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {CallerIntake} from '../../intake/caller-intake/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import {compressBody} from '../compress-body/index.js';
import type {PeerMethodHandler, PeerMethodRegistry} from '../peer-caller/index.js';
import {calleeHeader, callerHeader, rpcPath} from '../peer-link/index.js';

const maximumBodyBytes = 32 * 1024 * 1024;
/** Maximum time for a request to arrive, in milliseconds; longer than its caller waits, even if this process stands still for some seconds. */
const requestTimeoutMs = 30_000;
const connectionCheckIntervalMs = 5000;
/** Time for which a body may go without progress, in milliseconds. */
const bodyStallMs = 5000;
/** Longer than the client's timeout, so that the client closes idle connections and never sends on one that the server is closing. */
const keepAliveTimeoutMs = 60_000;

type CallContext = {readonly from: InstanceId};

/** Messages with the header `marker` are calls of callers that another instance passes on. */
export type CallRoute = {readonly marker: string; readonly handle: (message: IncomingMessage, response: ServerResponse) => void};

/** What requests of other instances may take. */
export type PeerServerLimits = {
	/** Largest size of a body. */
	readonly bodyBytes: number;
	/** Memory that all bodies together may take. */
	readonly heldBodyBytes: number;
	/** Open connections; further ones are closed. Undefined if they are not limited. */
	readonly connections?: number | undefined;
};

const defaultLimits: PeerServerLimits = {bodyBytes: maximumBodyBytes, heldBodyBytes: 2 * maximumBodyBytes};

/** Serves the methods that the daemon's components register. */
export class PeerServer implements PeerMethodRegistry {
	private readonly rpc = new JSONRPCServer<CallContext>({
		errorListener() {
			// The caller receives the error and decides whether to log it.
		},
	});

	private readonly server: Server;
	private callRoute: CallRoute | undefined;

	private readonly intake: CallerIntake;

	constructor(
		private readonly self: InstanceId,
		private readonly onTraffic?: (sentBytes: number, receivedBytes: number) => void,
		private readonly limits: PeerServerLimits = defaultLimits,
	) {
		this.intake = new CallerIntake({clock: new SystemClock(), readLimits: () => ({heldBytes: limits.heldBodyBytes, stallMs: bodyStallMs})});
		const options = {headersTimeout: requestTimeoutMs, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: connectionCheckIntervalMs};
		this.server = createServer(options, (message, response) => {
			void this.serve(message, response).catch((error: unknown) => {
				sendJson(response, 400, {message: (error as Error).message});
				discardRemainingBody(message);
			});
		});
		if (limits.connections !== undefined) {
			this.server.maxConnections = limits.connections;
		}

		this.server.keepAliveTimeout = keepAliveTimeoutMs;
	}

	register(method: string, handler: PeerMethodHandler): void {
		this.rpc.addMethod(method, async (parameters, context) => handler(parameters, context.from));
	}

	/** Sets who serves the calls of callers that other instances pass on. */
	setCallRoute(route: CallRoute): void {
		this.callRoute = route;
	}

	/** Starts listening; returns `host:port`. */
	async listen(address: string): Promise<string> {
		const {host, port} = parseAddress(address);
		this.server.listen(port, host);
		await once(this.server, 'listening');
		return `${host}:${(this.server.address() as AddressInfo).port}`;
	}

	/** Stops accepting connections, gives calls in flight `graceMs` to finish and closes all connections. */
	async close(graceMs = 500): Promise<void> {
		if (!this.server.listening) {
			return;
		}

		const closed = once(this.server, 'close');
		await stopListening(this.server);
		this.server.closeIdleConnections();
		const timer = setTimeout(() => {
			this.server.closeAllConnections();
		}, graceMs);
		await closed;
		clearTimeout(timer);
	}

	private async serve(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const callee = message.headers[calleeHeader];
		const isPassedOn = this.callRoute !== undefined && message.headers[this.callRoute.marker] !== undefined;
		if (!isPassedOn && (message.method !== 'POST' || message.url !== rpcPath)) {
			throw createRouterError('notFound', message.url);
		}

		// Another instance can have taken over the address while the caller still has the old membership entry.
		if (callee !== undefined && callee !== this.self) {
			throw createRouterError('notFound', `this is instance ${this.self}, not ${String(callee)}`);
		}

		if (isPassedOn) {
			this.callRoute!.handle(message, response);
			return;
		}

		const reader = this.intake.openBody(message);
		response.once('close', () => {
			reader.release();
		});
		const request = parseJsonBody(await reader.read(this.limits.bodyBytes)) as JSONRPCRequest;
		const answer = await this.rpc.receive(request, {from: String(message.headers[callerHeader] ?? '') as InstanceId});
		const {bytes, encoding} = await compressBody(JSON.stringify(answer), message.headers['accept-encoding']);
		response.writeHead(200, {
			'content-type': 'application/json', 'content-length': bytes.length, ...(encoding !== undefined && {'content-encoding': encoding}),
		});
		response.end(bytes);
		this.onTraffic?.(bytes.length, Number(message.headers['content-length'] ?? 0));
	}
}
