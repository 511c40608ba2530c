/**
 * Collects bytes that arrive in chunks, in little more memory than their length. A chunk is an object with memory of its own, which
 * costs several hundred bytes however short the chunk is; so short chunks are copied together into pages. Each byte is copied at
 * most once before the bytes are taken.
 */

/** Memory of a buffer beside its bytes: the objects of the heap and the header of its allocation. */
const bufferOverheadBytes = 256;
/** Shorter chunks are copied into pages; the overhead of a kept chunk is small in relation to it. */
const minimumKeptChunkBytes = 4096;
const smallestPageBytes = 1024;
const largestPageBytes = 64 * 1024;

/** Calculates the most memory that a collector of `bytes` takes. */
export function calculateLargestHolding(bytes: number): number {
	return (2 * bytes) + (2 * largestPageBytes);
}

/** Holds the bytes that have arrived and were not taken yet. */
export class ByteCollector {
	/** Length of the bytes. */
	sizeBytes = 0;
	/** Memory that they take. */
	heldBytes = 0;
	private parts: Buffer[] = [];
	/** Page that is being filled; it is also the last part. */
	private page: Buffer | undefined;
	private pageBytes = 0;

	/** Adds a chunk, which may be kept without a copy. */
	add(chunk: Buffer): void {
		if (chunk.length === 0) {
			return;
		}

		const isFirst = this.sizeBytes === 0;
		this.sizeBytes += chunk.length;
		const copiedBytes = this.copyToPage(chunk);
		const rest = copiedBytes === 0 ? chunk : chunk.subarray(copiedBytes);
		if (isFirst || rest.length >= minimumKeptChunkBytes) {
			this.page = undefined;
			this.parts.push(rest);
			this.heldBytes += chunk.length + bufferOverheadBytes;
		} else if (rest.length > 0) {
			this.openPage(rest.length);
			this.copyToPage(rest);
		}
	}

	/** Returns the bytes in the order of their arrival, and keeps nothing of them. */
	take(): Buffer {
		this.closePage();
		const {parts, sizeBytes} = this;
		this.clear();
		return parts.length === 1 ? parts[0]! : Buffer.concat(parts, sizeBytes);
	}

	/** Drops the bytes. */
	clear(): void {
		this.parts = [];
		this.page = undefined;
		this.sizeBytes = 0;
		this.heldBytes = 0;
	}

	/** Copies as much of `chunk` as fits into the page that is open, if any. Returns how much that is. */
	private copyToPage(chunk: Buffer): number {
		const bytes = this.page === undefined ? 0 : chunk.copy(this.page, this.pageBytes);
		this.pageBytes += bytes;
		return bytes;
	}

	/** Opens a page about as large as what is held, so that short chunks take at most about twice their length. */
	private openPage(minimumBytes: number): void {
		const bytes = Math.min(largestPageBytes, Math.max(smallestPageBytes, minimumBytes, this.sizeBytes));
		this.page = Buffer.allocUnsafeSlow(bytes);
		this.pageBytes = 0;
		this.parts.push(this.page);
		this.heldBytes += bytes + bufferOverheadBytes;
	}

	private closePage(): void {
		if (this.page !== undefined) {
			this.parts[this.parts.length - 1] = this.page.subarray(0, this.pageBytes);
			this.page = undefined;
		}
	}
}
