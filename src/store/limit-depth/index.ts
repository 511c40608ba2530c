/**
 * Drops values that are nested too deeply. Parsing them succeeds at any depth, but formatting them as JSON, as when they are
 * passed on to other instances, overflows the stack.
 */

const maximumDepth = 64;

/** Returns `value`, or null if it is nested too deeply. */
export function limitDepth(value: unknown): unknown {
	return isWithinDepth(value, maximumDepth) ? value : null;
}

function isWithinDepth(value: unknown, depth: number): boolean {
	if (typeof value !== 'object' || value === null) {
		return true;
	}

	return depth > 0 && Object.values(value).every(child => isWithinDepth(child, depth - 1));
}
