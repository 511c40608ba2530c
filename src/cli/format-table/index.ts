/** Formats what commands print. */

/** Formats rows below their headings, in columns. */
export function formatTable(headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const all = [headings, ...rows];
	const widths = headings.map((_, index) => Math.max(...all.map(row => (row[index] ?? '').length)));
	return all.map(row => row.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd()).join('\n') + '\n';
}

/** Formats a value as indented JSON. */
export function formatJson(value: unknown): string {
	return `${JSON.stringify(value, undefined, '\t')}\n`;
}
