/** Splits a list so that each part fits into one message. */

/** Splits a list into parts of at most `maximumLength` items; an empty list has none. */
export function splitList<Item>(items: readonly Item[], maximumLength: number): Item[][] {
	const parts: Item[][] = [];
	for (let offset = 0; offset < items.length; offset += maximumLength) {
		parts.push(items.slice(offset, offset + maximumLength));
	}

	return parts;
}
