/** Order of the versions of one object API, which are numbers in the order of its changes. */

/** Whether `version` is later than `other`; any version is later than none. */
export function isLaterVersion(version: string, other: string | undefined): boolean {
	return other === undefined || other === '' || Number(version) > Number(other);
}
