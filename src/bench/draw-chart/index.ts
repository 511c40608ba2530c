/** Draws grouped bar charts as SVG. */

/** A group of bars, in the order of the series. */
export type ChartGroup = {readonly label: string; readonly values: readonly number[]};

export type Chart = {
	readonly title: string;
	readonly unit: string;
	readonly series: readonly string[];
	readonly groups: readonly ChartGroup[];
};

const widthPx = 760;
const heightPx = 320;
const plotLeftPx = 60;
const plotTopPx = 50;
const plotWidthPx = widthPx - plotLeftPx - 20;
const plotHeightPx = heightPx - plotTopPx - 40;
const colours = ['#4c72b0', '#dd8452', '#55a868', '#c44e52', '#8172b3', '#937860'];
const gridIntervals = 4;

/** Draws `chart` with a value axis that starts at 0. */
export function drawChart(chart: Chart): string {
	const maximumValue = Math.max(...chart.groups.flatMap(group => group.values), Number.EPSILON);
	const groupWidthPx = plotWidthPx / chart.groups.length;
	const barWidthPx = groupWidthPx * 0.8 / chart.series.length;
	const elements = [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${widthPx}" height="${heightPx}" font-family="sans-serif" font-size="11">`,
		`<rect width="${widthPx}" height="${heightPx}" fill="white"/>`,
		`<text x="${plotLeftPx}" y="18" font-size="14">${chart.title} (${chart.unit})</text>`,
		...drawGrid(maximumValue),
		...drawLegend(chart.series),
	];
	for (const [groupIndex, group] of chart.groups.entries()) {
		const x = plotLeftPx + (groupIndex * groupWidthPx) + (groupWidthPx * 0.1);
		for (const [index, value] of group.values.entries()) {
			const barHeightPx = value / maximumValue * plotHeightPx;
			const barX = x + (index * barWidthPx);
			const y = plotTopPx + plotHeightPx - barHeightPx;
			elements.push(
				`<rect x="${barX.toFixed(1)}" y="${y.toFixed(1)}" width="${(barWidthPx * 0.95).toFixed(1)}" height="${barHeightPx.toFixed(1)}" fill="${colours[index % colours.length]}"/>`,
				`<text x="${(barX + (barWidthPx / 2)).toFixed(1)}" y="${(y - 3).toFixed(1)}" text-anchor="middle" font-size="9">${formatValue(value)}</text>`,
			);
		}

		elements.push(`<text x="${(x + (groupWidthPx * 0.4)).toFixed(1)}" y="${plotTopPx + plotHeightPx + 16}" text-anchor="middle">${group.label}</text>`);
	}

	return `${elements.join('\n')}\n</svg>\n`;
}

function drawGrid(maximumValue: number): string[] {
	return Array.from({length: gridIntervals + 1}, (_, index) => {
		const y = plotTopPx + plotHeightPx - (index / gridIntervals * plotHeightPx);
		return `<line x1="${plotLeftPx}" x2="${plotLeftPx + plotWidthPx}" y1="${y}" y2="${y}" stroke="#ddd"/>`
			+ `<text x="${plotLeftPx - 6}" y="${y + 4}" text-anchor="end">${formatValue(maximumValue * index / gridIntervals)}</text>`;
	});
}

function drawLegend(series: readonly string[]): string[] {
	return series.map((name, index) => {
		const x = plotLeftPx + (index * 140);
		return `<rect x="${x}" y="26" width="10" height="10" fill="${colours[index % colours.length]}"/><text x="${x + 14}" y="35">${name}</text>`;
	});
}

function formatValue(value: number): string {
	return value >= 10 ? String(Math.round(value)) : value.toFixed(2);
}
