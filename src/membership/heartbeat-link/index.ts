/** The task of one peer link: sends heartbeats to one address, one at a time. */

import type {AddressCaller} from '../../peers/peer-client/index.js';
import {heartbeatMethod, parseHeartbeat, type Heartbeat} from '../heartbeat/index.js';

/** Deadline of a heartbeat, in milliseconds. */
export const heartbeatTimeoutMs = 1000;

/** What the link needs from its membership. */
export type HeartbeatLinkOptions = {
	readonly address: string;
	readonly caller: AddressCaller;
	readonly createHeartbeat: (address: string) => Heartbeat;
	readonly onAnswer: (answer: Heartbeat, address: string) => void;
	readonly onFailure: (address: string, error: Error) => void;
};

/** Link to one peer. */
export class HeartbeatLink {
	private isWanted = false;
	private isStopped = false;
	private wake: (() => void) | undefined;

	constructor(private readonly options: HeartbeatLinkOptions) {}

	/** Sends heartbeats when asked, until `stop`. */
	async run(): Promise<void> {
		while (!this.isStopped) {
			await this.waitForRequest();
			if (!this.isStopped) {
				await this.exchange();
			}
		}
	}

	/** Asks for one heartbeat. While one is under way, at most one more is kept. */
	request(): void {
		this.isWanted = true;
		this.wake?.();
	}

	stop(): void {
		this.isStopped = true;
		this.wake?.();
	}

	private async waitForRequest(): Promise<void> {
		if (!this.isWanted && !this.isStopped) {
			await new Promise<void>(resolve => {
				this.wake = resolve;
			});
		}

		this.isWanted = false;
	}

	private async exchange(): Promise<void> {
		const {address, caller, createHeartbeat, onAnswer, onFailure} = this.options;
		try {
			const answer = await caller.callAddress(address, heartbeatMethod, createHeartbeat(address), heartbeatTimeoutMs);
			onAnswer(parseHeartbeat(answer), address);
		} catch (error) {
			onFailure(address, error as Error);
		}
	}
}
