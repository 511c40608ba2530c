/**
 * HTTP client for requests to targets.
 *
 * Calls that may run at most once get a new connection. On a reused one, a reset would not tell whether the
 * call ran, and a late response to an earlier call could arrive first. Node's own client is used because it
 * distinguishes a truncated chunked response from a complete one, even with `Connection: close`.
 */

import {Agent, request as openRequest} from 'node:http';
import type {TcpNetConnectOpts} from 'node:net';
import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {ReadTurns} from '../../http/read-turns/index.js';
import {openTargetSocket, type TargetSocket} from '../../http/target-socket/index.js';
import {HttpExchange, type Exchange, type ExchangeListener} from '../http-exchange/index.js';

/** A request to a target. */
export type OutboundRequest = {
	readonly method: string;
	readonly path: string;
	/** Alternating names and values. */
	readonly headers: readonly string[];
	readonly body: Buffer | undefined;
	readonly shouldUseNewConnection: boolean;
};

/** What listens at the address; connections are pooled by it. */
export type Destination = {readonly description: Pick<TargetDescription, 'address'>};

/** Idle connections kept open to each target. */
const maximumIdleConnectionsPerTarget = 4;
/** Idle time after which a pooled connection is closed. */
const connectionIdleTimeoutMs = 3000;
const maximumHeaderBytes = 32 * 1024;

/** Sends requests to targets and pools their connections. */
export class TargetClient {
	private readonly agents = new Map<Destination, Agent>();
	private readonly turns = new ReadTurns();
	private readonly singleUseAgent = new TargetAgent({keepAlive: false, maxSockets: Infinity});

	/** Sends a request; the response goes to `listener`. */
	start(target: Destination, outbound: OutboundRequest, listener: ExchangeListener): Exchange {
		const {host, port} = parseAddress(target.description.address);
		const request = openRequest({
			host, port, method: outbound.method, path: outbound.path, setHost: false, maxHeaderSize: maximumHeaderBytes,
			agent: outbound.shouldUseNewConnection ? this.singleUseAgent : this.findOrCreateAgent(target),
			headers: buildHeaders(outbound) as unknown as Record<string, string>,
		});
		return new HttpExchange(request, outbound.body, listener, this.turns);
	}

	/** Closes the pools of targets that are not in `targets` and have no request in flight. */
	prune(targets: ReadonlySet<Destination>): void {
		for (const [target, agent] of this.agents) {
			if (!targets.has(target) && Object.keys(agent.sockets).length === 0) {
				agent.destroy();
				this.agents.delete(target);
			}
		}
	}

	private findOrCreateAgent(target: Destination): Agent {
		let agent = this.agents.get(target);
		if (agent === undefined) {
			agent = new TargetAgent({
				keepAlive: true, maxFreeSockets: maximumIdleConnectionsPerTarget, timeout: connectionIdleTimeoutMs, scheduling: 'lifo',
			});
			this.agents.set(target, agent);
		}

		return agent;
	}
}

class TargetAgent extends Agent {
	override createConnection(options: unknown): TargetSocket {
		return openTargetSocket(options as TcpNetConnectOpts);
	}
}

/** Adds the Content-Length header. A request without a body gets none, so that it matches the caller's request. */
function buildHeaders({headers, body}: OutboundRequest): string[] {
	return body === undefined ? [...headers] : [...headers, 'Content-Length', String(body.length)];
}
