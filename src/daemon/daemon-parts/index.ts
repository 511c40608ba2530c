/** The parts of a running daemon: started in order, stopped in the opposite order, dumped by name. */

import type {EventLogger} from '../../logging/create-logger/index.js';

/** Time after which the stop of a part is given up, in milliseconds. */
const stopTimeoutMs = 5000;

/** One part of the daemon. */
export type DaemonPart = {
	/** Key of the part's state in a dump. */
	readonly name: string;
	start?(): Promise<void> | void;
	/** Called at once when a planned stop begins, while requests are still served. */
	leave?(): void;
	/** Releases what the part holds, for example leases and budget parts. */
	stop?(): Promise<void> | void;
	/** State as JSON. It never contains a key or a hash of one. */
	dump?(): unknown;
};

/** Parts in the order of their registration. A part may use those registered before it. */
export class DaemonParts {
	private readonly parts: DaemonPart[] = [];

	constructor(private readonly logger: EventLogger) {}

	register(part: DaemonPart): void {
		this.parts.push(part);
	}

	async start(): Promise<void> {
		for (const part of this.parts) {
			await part.start?.();
		}
	}

	leave(): void {
		for (const part of this.parts) {
			part.leave?.();
		}
	}

	/** Stops every part, the last registered first. A part that fails or takes too long does not keep the others from stopping. */
	async stop(): Promise<void> {
		for (const part of this.parts.toReversed()) {
			try {
				await waitAtMost(part.stop?.(), stopTimeoutMs);
			} catch (error) {
				this.logger.warn('part not stopped', {part: part.name, reason: (error as Error).message});
			}
		}
	}

	dump(): Record<string, unknown> {
		const dumped = this.parts.filter(part => part.dump !== undefined);
		return Object.fromEntries(dumped.map(part => [part.name, part.dump?.()]));
	}
}

async function waitAtMost(work: Promise<void> | void, timeoutMs: number): Promise<void> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<never>((_, reject) => {
		timer = setTimeout(() => {
			reject(new Error(`no end after ${timeoutMs} ms`));
		}, timeoutMs);
	});
	try {
		await Promise.race([work, timeout]);
	} finally {
		clearTimeout(timer);
	}
}
