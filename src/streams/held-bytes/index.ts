/** Bytes that have arrived and are not passed on yet. */

const noBytes = Buffer.alloc(0);

/** Holds bytes in the order of their arrival. */
export class HeldBytes {
	private chunks: Buffer[] = [];
	private totalBytes = 0;

	/** Size of what is held. */
	get size(): number {
		return this.totalBytes;
	}

	add(chunk: Buffer): void {
		if (chunk.length > 0) {
			this.chunks.push(chunk);
			this.totalBytes += chunk.length;
		}
	}

	/** Returns what is held, and holds it no longer. */
	take(): Buffer {
		const {chunks} = this;
		this.chunks = [];
		this.totalBytes = 0;
		return chunks.length > 1 ? Buffer.concat(chunks) : (chunks[0] ?? noBytes);
	}
}
