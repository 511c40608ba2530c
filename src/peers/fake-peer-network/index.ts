/** Network between instances in one process, for tests: calls can be cut in one direction or delayed. */

import VError from 'verror';
import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import type {PeerCaller, PeerMethodHandler, PeerMethodRegistry} from '../peer-caller/index.js';
import type {AddressCaller} from '../peer-client/index.js';

/** Network whose addresses are the instance ids. */
export class FakePeerNetwork {
	/** Calls delivered so far, by method. */
	readonly calls = new Map<string, number>();
	/** Bytes of parameters and answers delivered so far. */
	bytes = 0;
	private readonly endpoints = new Map<string, FakePeerEndpoint>();
	private readonly cuts = new Set<string>();

	constructor(readonly clock: Clock) {}

	/** Creates the endpoint of an instance; a later one for the same id replaces it. */
	open(id: InstanceId): FakePeerEndpoint {
		const endpoint = new FakePeerEndpoint(this, id);
		this.endpoints.set(id, endpoint);
		return endpoint;
	}

	/** Removes an instance: calls to it fail at once. */
	remove(id: InstanceId): void {
		this.endpoints.delete(id);
	}

	/** Makes messages from `from` to `to` vanish, or delivers them again. Answers travel in the direction of their sender. */
	setCut(from: string, to: string, isCut: boolean): void {
		if (isCut) {
			this.cuts.add(`${from}\n${to}`);
		} else {
			this.cuts.delete(`${from}\n${to}`);
		}
	}

	/** Delivers a call. Both ways are checked, each when its message travels. */
	async deliver(from: InstanceId, to: string, method: string, parameters: unknown): Promise<unknown> {
		const endpoint = this.endpoints.get(to);
		if (endpoint === undefined) {
			throw new VError('connection to %s refused', to);
		}

		await this.pass(from, to);
		const text = JSON.stringify(parameters);
		const answer = JSON.stringify(await endpoint.handle(method, JSON.parse(text), from) ?? null);
		await this.pass(to, from);
		this.calls.set(method, (this.calls.get(method) ?? 0) + 1);
		this.bytes += text.length + answer.length;
		return JSON.parse(answer) as unknown;
	}

	private async pass(from: string, to: string): Promise<void> {
		if (this.cuts.has(`${from}\n${to}`)) {
			await new Promise(() => {
				// A lost message never arrives; the caller's deadline ends the call.
			});
		}
	}
}

/** One instance's end of the network. */
export class FakePeerEndpoint implements PeerCaller, AddressCaller, PeerMethodRegistry {
	private readonly handlers = new Map<string, PeerMethodHandler>();

	constructor(private readonly network: FakePeerNetwork, readonly id: InstanceId) {}

	register(method: string, handler: PeerMethodHandler): void {
		this.handlers.set(method, handler);
	}

	async call<Result>(peer: InstanceId, method: string, parameters: unknown, timeoutMs: number): Promise<Result> {
		return this.callAddress(peer, method, parameters, timeoutMs);
	}

	async callAddress<Result>(address: string, method: string, parameters: unknown, timeoutMs: number): Promise<Result> {
		const controller = new AbortController();
		const deadline = this.network.clock.sleep(timeoutMs, controller.signal).then(() => {
			throw new VError('deadline of %s passed', method);
		});
		try {
			return await Promise.race([this.network.deliver(this.id, address, method, parameters), deadline]) as Result;
		} finally {
			deadline.catch(() => undefined);
			controller.abort();
		}
	}

	/** Runs the handler of a call that has arrived. */
	async handle(method: string, parameters: unknown, from: InstanceId): Promise<unknown> {
		const handler = this.handlers.get(method);
		if (handler === undefined) {
			throw new VError('method %s is not registered', method);
		}

		return handler(parameters, from);
	}
}
