/** Decimal numbers in headers. */

const decimalPattern = /^\d{1,15}(\.\d{1,15})?$/;

/** Parses a decimal number without sign and exponent; undefined if `text` is none. */
export function parseDecimal(text: string): number | undefined {
	return decimalPattern.test(text) ? Number(text) : undefined;
}
