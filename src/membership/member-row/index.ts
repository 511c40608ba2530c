/** Shortest form of a member's heartbeat, for messages that list many members. */

import type {InstanceId, Revision} from '../../identity/ids/index.js';
import type {CompactEntry} from '../heartbeat/index.js';

/** The fields of a compact entry. */
export type MemberRow = readonly [id: InstanceId, life: string, isLeaving: boolean, revision: number, counter: number, ageMs: number];

/** Formats a compact entry as a row. */
export function formatMemberRow({id, life, state, revision, counter, ageMs}: CompactEntry): MemberRow {
	return [id, life, state === 'leaving', revision, counter, ageMs];
}

/** Parses a row received from a peer. Throws a `TypeError` if it is malformed. */
export function parseMemberRow(row: unknown): CompactEntry {
	const [id, life, isLeaving, revision, counter, ageMs] = Array.isArray(row) ? row as unknown[] : [];
	const isWellFormed = isShortText(id) && isShortText(life) && typeof isLeaving === 'boolean'
		&& Number.isSafeInteger(revision) && isCount(counter) && isCount(ageMs);
	if (!isWellFormed) {
		throw new TypeError('a member row is malformed');
	}

	return {
		id: id as InstanceId, life, state: isLeaving ? 'leaving' : 'live', revision: revision as Revision, counter, ageMs,
	};
}

function isShortText(value: unknown): value is string {
	return typeof value === 'string' && value.length > 0 && value.length <= 100;
}

function isCount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
