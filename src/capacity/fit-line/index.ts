/** Least-squares line through measured points. */

/** One measured point. */
export type Point = {readonly size: number; readonly value: number};

/** A fitted line and how well it fits. */
export type Line = {
	/** Value per unit of size. */
	readonly slope: number;
	readonly intercept: number;
	/** Coefficient of determination: 1 is a perfect fit. */
	readonly determination: number;
};

/** Fits a line through at least two points of different size. */
export function fitLine(points: readonly Point[]): Line {
	const meanSize = calculateMean(points.map(point => point.size));
	const meanValue = calculateMean(points.map(point => point.value));
	const covariance = calculateMean(points.map(point => (point.size - meanSize) * (point.value - meanValue)));
	const sizeVariance = calculateMean(points.map(point => (point.size - meanSize) ** 2));
	const slope = covariance / sizeVariance;
	const intercept = meanValue - (slope * meanSize);
	const residualVariance = calculateMean(points.map(point => (point.value - intercept - (slope * point.size)) ** 2));
	const valueVariance = calculateMean(points.map(point => (point.value - meanValue) ** 2));
	return {slope, intercept, determination: valueVariance === 0 ? 1 : 1 - (residualVariance / valueVariance)};
}

function calculateMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
