/**
 * Keeps the statements of all incarnations of targets, listed or not. A target that has removed its entry may go on
 * running calls, and an older copy of the list may show the entry again; what the target has said then still holds.
 *
 * Statements of incarnations that are not listed are kept for a limited time and in limited number. They end when a later
 * incarnation is listed under the same id. An earlier one, which only an older copy of the list shows, ends nothing.
 */

import type {MonotonicMs, SoftwareVersion, TargetId} from '../../identity/ids/index.js';
import {IncarnationStatements} from '../incarnation-statements/index.js';

/** Time for which statements of an incarnation that is not listed are kept, in milliseconds; as long as the longest pause. */
export const unlistedRetentionMs = 3_600_000;
/** Maximum number of incarnations that are not listed. */
export const maximumUnlisted = 4096;

/** Start of a process whose entry does not tell it. Without its entry, nothing tells such a process from a later one. */
export const unknownStart = 0;

/** One process of a target. */
export type TargetIncarnation = {
	readonly id: TargetId;
	/** Unix time of the start, in milliseconds; `unknownStart` if the target does not tell it. */
	readonly startedAt: number;
};

/** A listed process. Its entry may show the start of the process before it, so address and software count, too. */
export type ListedIncarnation = TargetIncarnation & {
	readonly address: string;
	readonly softwareVersion: SoftwareVersion;
	readonly isLeaving: boolean;
};

type Entry = {
	readonly startedAt: number;
	readonly statements: IncarnationStatements;
	/** The entry in the list, if it has been listed. */
	listed: ListedIncarnation | undefined;
	/** Since when it is not listed; undefined while it is. */
	unlistedSince: MonotonicMs | undefined;
};

/** Statements by id and incarnation. */
export class StatementRegister {
	private readonly entriesById = new Map<TargetId, Entry[]>();

	/** Gets or creates the statements of a process that is now listed. Those of earlier processes under its id are dropped. */
	getListed(incarnation: ListedIncarnation): IncarnationStatements {
		const entries = (this.entriesById.get(incarnation.id) ?? [])
			.filter(entry => entry.startedAt > incarnation.startedAt || isEntryOf(entry, incarnation));
		let entry = entries.find(({startedAt}) => startedAt === incarnation.startedAt);
		if (entry === undefined) {
			entry = createEntry(incarnation.startedAt);
			entries.push(entry);
		}

		entry.listed = incarnation;
		entry.statements.isLeavingListed ||= incarnation.isLeaving && incarnation.startedAt !== unknownStart;
		entry.unlistedSince = undefined;
		this.entriesById.set(incarnation.id, entries);
		return entry.statements;
	}

	/**
	 * Gets or creates the statements of an incarnation that another instance has told of; it may not be listed here. Without a
	 * known start those of an unlisted one are not kept.
	 */
	get({id, startedAt}: TargetIncarnation, now: MonotonicMs): IncarnationStatements {
		const existing = this.find(id, startedAt);
		if (existing !== undefined) {
			return existing.statements;
		}

		const entry = {...createEntry(startedAt), unlistedSince: now};
		if (startedAt === unknownStart) {
			return entry.statements;
		}

		this.entriesById.set(id, [...this.entriesById.get(id) ?? [], entry]);
		this.prune(now);
		return entry.statements;
	}

	/** Notes that an incarnation is not listed any more. Its statements are kept if its start is known. */
	markUnlisted({id, startedAt}: TargetIncarnation, now: MonotonicMs): void {
		const entry = this.find(id, startedAt);
		if (entry === undefined) {
			return;
		}

		entry.unlistedSince = now;
		if (startedAt === unknownStart) {
			this.drop(id, entry);
		}
	}

	/** Drops statements of unlisted incarnations that have expired or exceed the maximum: first those without any, then the oldest. */
	prune(now: MonotonicMs): void {
		const unlisted = [...this.entriesById].flatMap(([id, entries]) => entries
			.filter(({unlistedSince}) => unlistedSince !== undefined)
			.map(entry => ({id, entry, since: entry.unlistedSince!})));
		const expired = unlisted.filter(({since}) => now - since > unlistedRetentionMs);
		const retained = unlisted.filter(({since}) => now - since <= unlistedRetentionMs);
		const excess = retained
			.toSorted((a, b) => (Number(a.entry.statements.hasAny) - Number(b.entry.statements.hasAny)) || (a.since - b.since))
			.slice(0, Math.max(0, retained.length - maximumUnlisted));
		for (const {id, entry} of [...expired, ...excess]) {
			this.drop(id, entry);
		}
	}

	/** Lists the statements of all incarnations, those that are not listed first: no entry of theirs shows that they leave. */
	list(): Array<{readonly incarnation: TargetIncarnation; readonly statements: IncarnationStatements}> {
		return [...this.entriesById]
			.flatMap(([id, entries]) => entries.map(entry => ({id, entry})))
			.toSorted((a, b) => Number(a.entry.unlistedSince === undefined) - Number(b.entry.unlistedSince === undefined))
			.map(({id, entry: {startedAt, statements}}) => ({incarnation: {id, startedAt}, statements}));
	}

	/** Number of incarnations that are not listed. */
	countUnlisted(): number {
		return [...this.entriesById.values()].flat().filter(({unlistedSince}) => unlistedSince !== undefined).length;
	}

	private find(id: TargetId, startedAt: number): Entry | undefined {
		return this.entriesById.get(id)?.find(entry => entry.startedAt === startedAt);
	}

	private drop(id: TargetId, dropped: Entry): void {
		const entries = this.entriesById.get(id)!.filter(entry => entry !== dropped);
		if (entries.length === 0) {
			this.entriesById.delete(id);
		} else {
			this.entriesById.set(id, entries);
		}
	}
}

function createEntry(startedAt: number): Entry {
	return {
		startedAt, statements: new IncarnationStatements(), listed: undefined, unlistedSince: undefined,
	};
}

function isEntryOf({startedAt, listed}: Entry, incarnation: ListedIncarnation): boolean {
	return startedAt === incarnation.startedAt && (listed === undefined || isSameProcess(listed, incarnation));
}

/** Whether two entries of a list are of one process. Entries may lag behind a restart, and no process changes its software. */
export function isSameProcess(a: ListedIncarnation, b: ListedIncarnation): boolean {
	return a.startedAt === b.startedAt && a.address === b.address && a.softwareVersion === b.softwareVersion;
}
