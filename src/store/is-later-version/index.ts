/** Order of the versions of an object API, which are increasing numbers. */

/** Whether `version` is later than `other`. Any version is later than an absent one. */
export function isLaterVersion(version: string, other: string | undefined): boolean {
	return other === undefined || other === '' || Number(version) > Number(other);
}
