/** Sends heartbeats to one address, one at a time. */

import type {AddressCaller} from '../../peers/peer-client/index.js';
import {heartbeatMethod, parseHeartbeat, type Heartbeat} from '../heartbeat/index.js';

/** Timeout of a heartbeat call, in milliseconds. */
export const heartbeatTimeoutMs = 1000;

/** Options of `HeartbeatLink`. */
export type HeartbeatLinkOptions = {
	readonly address: string;
	readonly caller: AddressCaller;
	readonly createHeartbeat: (address: string) => Heartbeat;
	readonly onResponse: (response: Heartbeat, address: string) => void;
	readonly onFailure: (address: string, error: Error) => void;
};

/** Heartbeat sender for one peer address. */
export class HeartbeatLink {
	private isRequested = false;
	private isStopped = false;
	private wakeUp: (() => void) | undefined;

	constructor(private readonly options: HeartbeatLinkOptions) {}

	/** Sends a heartbeat for each request until `stop` is called. */
	async run(): Promise<void> {
		while (!this.isStopped) {
			await this.waitForRequest();
			if (!this.isStopped) {
				await this.sendHeartbeat();
			}
		}
	}

	/** Requests a heartbeat. While one is in flight, further requests are merged into a single one. */
	request(): void {
		this.isRequested = true;
		this.wakeUp?.();
	}

	stop(): void {
		this.isStopped = true;
		this.wakeUp?.();
	}

	private async waitForRequest(): Promise<void> {
		if (!this.isRequested && !this.isStopped) {
			await new Promise<void>(resolve => {
				this.wakeUp = resolve;
			});
		}

		this.isRequested = false;
	}

	private async sendHeartbeat(): Promise<void> {
		const {address, caller, createHeartbeat, onResponse, onFailure} = this.options;
		try {
			const response = await caller.callAddress(address, heartbeatMethod, createHeartbeat(address), heartbeatTimeoutMs);
			onResponse(parseHeartbeat(response), address);
		} catch (error) {
			onFailure(address, error as Error);
		}
	}
}
