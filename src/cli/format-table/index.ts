/** Formats the output of commands. */

/** Formats headings and rows as aligned columns. */
export function formatTable(headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const allRows = [headings, ...rows];
	const widths = headings.map((_, index) => Math.max(...allRows.map(row => (row[index] ?? '').length)));
	return allRows.map(row => row.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd()).join('\n') + '\n';
}

/** Formats a value as indented JSON. */
export function formatJson(value: unknown): string {
	return `${JSON.stringify(value, undefined, '\t')}\n`;
}
