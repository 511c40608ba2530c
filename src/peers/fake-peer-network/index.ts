/** In-process network between instances, for tests. Messages can be dropped in one direction. */

import VError from 'verror';
import type {Clock} from '../../clock/clock/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import type {
	PeerCaller, PeerCallTimeout, PeerMethodHandler, PeerMethodRegistry,
} from '../peer-caller/index.js';
import {AnswerDeadline} from '../answer-deadline/index.js';
import {measureCompressedBytes} from '../compress-body/index.js';
import type {AddressCaller} from '../peer-client/index.js';

/** Size of the parts in which an answer passes a link of limited width, in bytes. Transfers at the same time take turns. */
const partBytes = 16 * 1024;

/** Network whose addresses are the instance ids. */
export class FakePeerNetwork {
	/** Calls delivered so far, by method. */
	readonly calls = new Map<string, number>();
	/** Length of the parameters and results delivered so far, as JSON. */
	bytes = 0;
	private readonly endpoints = new Map<string, FakePeerEndpoint>();
	private readonly droppedDirections = new Set<string>();
	/** Width of the links from instances to the network, in bytes per millisecond; others are unlimited. */
	private readonly linkWidths = new Map<string, number>();
	private readonly linkFreeAt = new Map<string, number>();
	private readonly silencedEndpoints = new Set<string>();

	constructor(readonly clock: Clock) {}

	/** Creates the endpoint of an instance and replaces an earlier one with the same id. */
	open(id: InstanceId): FakePeerEndpoint {
		const endpoint = new FakePeerEndpoint(this, id);
		this.endpoints.set(id, endpoint);
		return endpoint;
	}

	/** Removes an instance: calls to it fail at once. */
	remove(id: InstanceId): void {
		this.endpoints.delete(id);
	}

	/** Drops messages from `from` to `to`, or delivers them again. The answer to a call counts as a message in the opposite direction. */
	setPartitioned(from: string, to: string, isPartitioned: boolean): void {
		if (isPartitioned) {
			this.droppedDirections.add(`${from}\n${to}`);
		} else {
			this.droppedDirections.delete(`${from}\n${to}`);
		}
	}

	/** Drops all messages from and to an instance, as after a loss of power, or delivers them again. */
	silence(id: InstanceId, isSilent: boolean): void {
		if (isSilent) {
			this.silencedEndpoints.add(id);
		} else {
			this.silencedEndpoints.delete(id);
		}
	}

	/** Limits the link from an instance to the network. */
	limitLink(id: InstanceId, bytesPerMs: number): void {
		this.linkWidths.set(id, bytesPerMs);
	}

	/** Delivers a call and its answer. Whether a message is dropped is decided when it is sent. */
	async deliver(from: InstanceId, to: string, method: string, parameters: unknown, transfer: AnswerTransfer): Promise<unknown> {
		const endpoint = this.endpoints.get(to);
		if (endpoint === undefined) {
			throw new VError('connection to %s refused', to);
		}

		await this.transmit(from, to);
		const request = JSON.stringify(parameters);
		const answer = JSON.stringify(await endpoint.handle(method, JSON.parse(request), from) ?? null);
		await this.transmit(to, from);
		await this.passLink(to, measureCompressedBytes(answer), transfer);
		this.calls.set(method, (this.calls.get(method) ?? 0) + 1);
		this.bytes += request.length + answer.length;
		return JSON.parse(answer) as unknown;
	}

	/** Resolves when `bytes` have passed the link of the sender, unless the caller has given up. */
	private async passLink(from: string, bytes: number, {signal, onPart}: AnswerTransfer): Promise<void> {
		const width = this.linkWidths.get(from);
		if (width === undefined) {
			return;
		}

		for (let remaining = bytes; remaining > 0 && !signal.aborted; remaining -= partBytes) {
			const now = this.clock.readMonotonic();
			const freeAt = Math.max(now, this.linkFreeAt.get(from) ?? 0) + (Math.min(remaining, partBytes) / width);
			this.linkFreeAt.set(from, freeAt);
			await this.clock.sleep(freeAt - now);
			onPart();
		}
	}

	private async transmit(from: string, to: string): Promise<void> {
		if (this.droppedDirections.has(`${from}\n${to}`) || this.silencedEndpoints.has(from) || this.silencedEndpoints.has(to)) {
			await new Promise(() => {
				// The message is lost; the caller's timeout ends the call.
			});
		}
	}
}

/** How the caller takes an answer in. */
type AnswerTransfer = {readonly signal: AbortSignal; readonly onPart: () => void};

/** Endpoint of one instance. */
export class FakePeerEndpoint implements PeerCaller, AddressCaller, PeerMethodRegistry {
	private readonly handlers = new Map<string, PeerMethodHandler>();

	constructor(private readonly network: FakePeerNetwork, readonly id: InstanceId) {}

	register(method: string, handler: PeerMethodHandler): void {
		this.handlers.set(method, handler);
	}

	async call<Result>(peer: InstanceId, method: string, parameters: unknown, timeout: number | PeerCallTimeout): Promise<Result> {
		return this.callAddress(peer, method, parameters, timeout);
	}

	async callAddress<Result>(address: string, method: string, parameters: unknown, timeout: number | PeerCallTimeout): Promise<Result> {
		const {clock} = this.network;
		const controller = new AbortController();
		const deadline = new AnswerDeadline(typeof timeout === 'number' ? {timeoutMs: timeout} : timeout, clock.readMonotonic());
		const transfer: AnswerTransfer = {
			signal: controller.signal,
			onPart() {
				deadline.recordPart(clock.readMonotonic());
			},
		};
		const timedOut = this.waitForDeadline(deadline, controller.signal).then(() => {
			throw new VError('call to method %s timed out', method);
		});
		try {
			return await Promise.race([this.network.deliver(this.id, address, method, parameters, transfer), timedOut]) as Result;
		} finally {
			timedOut.catch(() => undefined);
			controller.abort();
		}
	}

	/** Runs the handler of a received call. */
	async handle(method: string, parameters: unknown, from: InstanceId): Promise<unknown> {
		const handler = this.handlers.get(method);
		if (handler === undefined) {
			throw new VError('method %s is not registered', method);
		}

		return handler(parameters, from);
	}

	private async waitForDeadline(deadline: AnswerDeadline, signal: AbortSignal): Promise<void> {
		const {clock} = this.network;
		for (let remainingMs = deadline.measureRemainingMs(clock.readMonotonic()); remainingMs > 0 && !signal.aborted;) {
			await clock.sleep(remainingMs, signal);
			remainingMs = deadline.measureRemainingMs(clock.readMonotonic());
		}
	}
}
