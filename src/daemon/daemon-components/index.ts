/** Components of a running daemon: started in order of registration, stopped in reverse order, dumped by name. */

import type {EventLogger} from '../../logging/create-logger/index.js';

/** Time after which a component that does not stop is skipped. */
const componentStopTimeoutMs = 5000;

/** A component of the daemon. */
export type DaemonComponent = {
	/** Key of the component's state in a dump. */
	readonly name: string;
	start?(): Promise<void> | void;
	/** Called as soon as a planned stop begins, while requests are still served. */
	leave?(): void;
	/** Releases what the component holds, for example leases and parts of a budget. */
	stop?(): Promise<void> | void;
	/** State as JSON. It must not contain a key or the hash of a key. */
	dump?(): unknown;
};

/** Components in the order of their registration. A component may use those registered before it. */
export class DaemonComponents {
	private readonly components: DaemonComponent[] = [];

	constructor(private readonly logger: EventLogger) {}

	register(component: DaemonComponent): void {
		this.components.push(component);
	}

	async start(): Promise<void> {
		for (const component of this.components) {
			await component.start?.();
		}
	}

	leave(): void {
		for (const component of this.components) {
			component.leave?.();
		}
	}

	/** Stops all components, the last registered first. One that fails or times out does not prevent the others from stopping. */
	async stop(): Promise<void> {
		for (const component of this.components.toReversed()) {
			try {
				await waitWithTimeout(component.stop?.(), componentStopTimeoutMs);
			} catch (error) {
				this.logger.warn('component not stopped', {part: component.name, reason: (error as Error).message});
			}
		}
	}

	dump(): Record<string, unknown> {
		const dumpable = this.components.filter(component => component.dump !== undefined);
		return Object.fromEntries(dumpable.map(component => [component.name, component.dump?.()]));
	}
}

async function waitWithTimeout(operation: Promise<void> | void, timeoutMs: number): Promise<void> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<never>((_, reject) => {
		timer = setTimeout(() => {
			reject(new Error(`timed out after ${timeoutMs} ms`));
		}, timeoutMs);
	});
	try {
		await Promise.race([operation, timeout]);
	} finally {
		clearTimeout(timer);
	}
}
