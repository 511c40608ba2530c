/** Bounds of what waits in all queues of an instance. */

/** Limits of the queues. */
export type AdmissionLimits = {
	/** Calls that may wait. */
	readonly maximumCalls: number;
	/** Memory that waiting calls may hold, in bytes. */
	readonly maximumBytes: number;
	/** Longest wait of a call, in milliseconds. */
	readonly longestWaitMs: number;
	/** Part of the tightest latency goal of a service that prompts at one of its engines may take; 0 if only its memory counts. */
	readonly goalFraction: number;
};

/** Memory that a waiting call takes besides its body, in bytes. */
const callOverheadBytes = 8192;

/** Counts what waits against the limits. */
export class QueueBounds {
	private calls = 0;
	private bytes = 0;

	constructor(private readonly readLimits: () => AdmissionLimits) {}

	/** See `AdmissionLimits`. */
	get goalFraction(): number {
		return this.readLimits().goalFraction;
	}

	/** See `AdmissionLimits`. */
	get longestWaitMs(): number {
		return this.readLimits().longestWaitMs;
	}

	/** Whether a call with a body of `bytes` may wait if no other does. */
	fits(bytes: number): boolean {
		return bytes + callOverheadBytes <= this.readLimits().maximumBytes;
	}

	/** Whether a further call with a body of `bytes` may wait. */
	allows(bytes: number): boolean {
		const {maximumCalls, maximumBytes} = this.readLimits();
		return this.calls < maximumCalls && this.bytes + bytes + callOverheadBytes <= maximumBytes;
	}

	/** Counts a call that begins to wait. */
	add(bytes: number): void {
		this.calls += 1;
		this.bytes += bytes + callOverheadBytes;
	}

	/** Subtracts a call that no longer waits. */
	remove(bytes: number): void {
		this.calls -= 1;
		this.bytes -= bytes + callOverheadBytes;
	}
}
