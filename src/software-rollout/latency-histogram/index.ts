/** Histogram of durations in buckets of geometrically growing width, whose counts can be added up over instances. */

/** Counts by bucket. */
export type LatencyHistogram = ReadonlyMap<number, number>;

/** Lower bound of the second bucket, in milliseconds. */
const firstBoundMs = 4;
/** Number of buckets in which the bound doubles. */
const bucketsPerDoubling = 4;
const bucketCount = 56;

/** Returns the bucket of a duration. */
export function findBucket(durationMs: number): number {
	const bucket = Math.floor(bucketsPerDoubling * Math.log2(Math.max(durationMs, 1) / firstBoundMs)) + 1;
	return Math.min(bucketCount - 1, Math.max(0, bucket));
}

/** Returns the upper bound of a bucket in milliseconds. */
export function calculateUpperBoundMs(bucket: number): number {
	return firstBoundMs * (2 ** (bucket / bucketsPerDoubling));
}

/** Counts the values of a histogram. */
export function countValues(histogram: LatencyHistogram): number {
	let count = 0;
	for (const values of histogram.values()) {
		count += values;
	}

	return count;
}

/** Finds the bucket below or in which a fraction of the values lies; undefined without values. */
export function findQuantile(histogram: LatencyHistogram, fraction: number): number | undefined {
	const wanted = countValues(histogram) * fraction;
	let count = 0;
	for (const bucket of [...histogram.keys()].toSorted((a, b) => a - b)) {
		count += histogram.get(bucket)!;
		if (count > 0 && count >= wanted) {
			return bucket;
		}
	}

	return undefined;
}

/** Counts the values in `bucket` and above it. */
export function countFrom(histogram: LatencyHistogram, bucket: number): number {
	let count = 0;
	for (const [other, values] of histogram) {
		count += other >= bucket ? values : 0;
	}

	return count;
}
