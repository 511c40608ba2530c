/** Draws grouped bar charts as SVG. */

/** Bars of one group, in the order of the series. */
export type ChartGroup = {readonly label: string; readonly values: readonly number[]};

/** A bar chart. */
export type Chart = {
	readonly title: string;
	readonly unit: string;
	readonly series: readonly string[];
	readonly groups: readonly ChartGroup[];
};

const width = 760;
const height = 320;
const left = 60;
const top = 50;
const plotWidth = width - left - 20;
const plotHeight = height - top - 40;
const colours = ['#4c72b0', '#dd8452', '#55a868', '#c44e52', '#8172b3', '#937860'];
const gridLines = 4;

/** Draws `chart`; values start at 0. */
export function drawChart(chart: Chart): string {
	const highest = Math.max(...chart.groups.flatMap(group => group.values), Number.EPSILON);
	const groupWidth = plotWidth / chart.groups.length;
	const barWidth = groupWidth * 0.8 / chart.series.length;
	const parts = [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="11">`,
		`<rect width="${width}" height="${height}" fill="white"/>`,
		`<text x="${left}" y="18" font-size="14">${chart.title} (${chart.unit})</text>`,
		...drawGrid(highest),
		...drawLegend(chart.series),
	];
	for (const [groupIndex, group] of chart.groups.entries()) {
		const x = left + (groupIndex * groupWidth) + (groupWidth * 0.1);
		for (const [index, value] of group.values.entries()) {
			const barHeight = value / highest * plotHeight;
			const barX = x + (index * barWidth);
			const y = top + plotHeight - barHeight;
			parts.push(
				`<rect x="${barX.toFixed(1)}" y="${y.toFixed(1)}" width="${(barWidth * 0.95).toFixed(1)}" height="${barHeight.toFixed(1)}" fill="${colours[index % colours.length]}"/>`,
				`<text x="${(barX + (barWidth / 2)).toFixed(1)}" y="${(y - 3).toFixed(1)}" text-anchor="middle" font-size="9">${formatValue(value)}</text>`,
			);
		}

		parts.push(`<text x="${(x + (groupWidth * 0.4)).toFixed(1)}" y="${top + plotHeight + 16}" text-anchor="middle">${group.label}</text>`);
	}

	return `${parts.join('\n')}\n</svg>\n`;
}

function drawGrid(highest: number): string[] {
	return Array.from({length: gridLines + 1}, (_, index) => {
		const y = top + plotHeight - (index / gridLines * plotHeight);
		return `<line x1="${left}" x2="${left + plotWidth}" y1="${y}" y2="${y}" stroke="#ddd"/>`
			+ `<text x="${left - 6}" y="${y + 4}" text-anchor="end">${formatValue(highest * index / gridLines)}</text>`;
	});
}

function drawLegend(series: readonly string[]): string[] {
	return series.map((name, index) => {
		const x = left + (index * 140);
		return `<rect x="${x}" y="26" width="10" height="10" fill="${colours[index % colours.length]}"/><text x="${x + 14}" y="35">${name}</text>`;
	});
}

function formatValue(value: number): string {
	return value >= 10 ? String(Math.round(value)) : value.toFixed(2);
}
