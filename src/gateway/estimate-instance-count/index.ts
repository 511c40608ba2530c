/** Estimates the number of instances of the fleet, among which quotas and retry budgets are divided. */

/** Minimum number of instances assumed until the registry has been read, so that shares are not too large. */
const assumedInstanceCount = 12;

/** Estimates from the number of registered instances, 0 until the registry has been read, and the number of known members. */
export function estimateInstanceCount(registered: number, members: number): number {
	const known = Math.max(registered, members);
	return registered === 0 ? Math.max(known, assumedInstanceCount) : known;
}
