/** Formats the object name of an instance's lease. */
export function formatInstanceLease(instance: string): string {
	return `instance.${instance}`;
}
