/** Writes the measured slopes as JSON and into the tables of the capacity page. */

import {readFile, writeFile, mkdir} from 'node:fs/promises';
import {dirname} from 'node:path';
import type {Measurement} from '../measurement/index.js';

const startMarker = '<!-- slopes: start -->';
const endMarker = '<!-- slopes: end -->';
const significantDigits = 3;

/** Writes `measurements` to the JSON file and replaces the table between the markers of the page. */
export async function writeCapacityReport(measurements: readonly Measurement[], jsonFile: string, pageFile: string): Promise<void> {
	await mkdir(dirname(jsonFile), {recursive: true});
	await writeFile(jsonFile, `${JSON.stringify(measurements, undefined, '\t')}\n`);
	const page = await readFile(pageFile, 'utf8');
	await writeFile(pageFile, replaceTable(page, formatSlopeTable(measurements)));
}

/** Formats one row per measurement with its points, slope and fit. */
export function formatSlopeTable(measurements: readonly Measurement[]): string {
	const rows = measurements.map(measurement => {
		const points = measurement.points.map(point => `${point.size}: ${formatNumber(point.value)}`).join(', ');
		return `| ${measurement.title} | ${points} | ${formatNumber(measurement.slope)} ${measurement.unit} | ${measurement.determination.toFixed(3)} |`;
	});
	return ['| quantity | measured (size: value) | slope | r² |', '| --- | --- | --- | --- |', ...rows].join('\n');
}

/** Replaces the text between the markers. Throws if a marker is missing. */
export function replaceTable(page: string, table: string): string {
	const start = page.indexOf(startMarker);
	const end = page.indexOf(endMarker);
	if (start === -1 || end < start) {
		throw new Error('the page lacks the start and end markers of the slope table');
	}

	return `${page.slice(0, start + startMarker.length)}\n\n${table}\n\n${page.slice(end)}`;
}

function formatNumber(value: number): string {
	return Math.abs(value) >= 1000 ? Math.round(value).toLocaleString('en-GB') : String(Number(value.toPrecision(significantDigits)));
}
