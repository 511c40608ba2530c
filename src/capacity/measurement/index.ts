/** A measured quantity and its slope, as shown on the capacity page. */

import {fitLine, type Line, type Point} from '../fit-line/index.js';

/** Points of one quantity over at least three sizes, and the line through them. */
export type Measurement = Line & {
	readonly id: string;
	/** What is measured, for the table. */
	readonly title: string;
	/** Unit of the slope, for example `bytes per organisation`. */
	readonly unit: string;
	readonly points: readonly Point[];
};

/** Builds a measurement from its points. */
export function createMeasurement(id: string, title: string, unit: string, points: readonly Point[]): Measurement {
	return {
		id, title, unit, points, ...fitLine(points),
	};
}
