/**
 * The budget ledger: one object of the object API that maps the parts of 64 slots to their owners.
 * Organisations are hashed into slots. Each write is conditional on the version that was read.
 */

import createXxhash from 'xxhash-wasm';
import type {
	FencingNumber, Incarnation, InstanceId, OrganisationId, ResourceVersion,
} from '../../identity/ids/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';
import {partCount, slotCount} from '../budget-timings/index.js';

/** Collection of the ledger. */
export const ledgerCollection = 'budgetledgers';
const ledgerName = 'main';

/** Mark of a part that never had an owner. Instance ids are never empty and never `*`. */
export const newPart = '*';
/** Mark of a part whose owner gave it up or died. */
export const freePart = '';

/** One owner's tenure. Parts are used only under the tenure that is recorded here. */
export type LedgerOwner = {
	readonly incarnation: Incarnation;
	/** Fencing number of the owner's instance lease. */
	readonly fencing: FencingNumber;
	/** Whether the owner may have granted tokens to other instances. */
	readonly isShared: boolean;
};

/**
 * State in which an owner gave a part up, as shares of the part's burst. Every organisation had at
 * least this level and at most these outstanding tokens.
 */
export type PartHandover = {readonly level: number; readonly outstanding: number};

/** Value of the ledger object. */
export type LedgerRecord = {
	readonly revision: number;
	/** Id of the write, by which a lost answer is settled. */
	readonly writer: string;
	readonly owners: Readonly<Record<string, LedgerOwner>>;
	/** For each part the owner's id, `newPart` or `freePart`. */
	readonly parts: readonly string[];
	/** State of the free parts that were given up, by part. */
	readonly handovers: Readonly<Record<string, PartHandover>>;
};

/** The ledger as read, with the version that a write depends on. */
export type LedgerSnapshot = {readonly record: LedgerRecord; readonly version: ResourceVersion};

/** What became of a write. After `unknown` it may still take effect until the version changes. */
export type LedgerWriteOutcome = 'written' | 'conflict' | 'unknown';

const {h32} = await createXxhash();

/** Slot of an organisation. */
export function chooseSlot(organisation: OrganisationId): number {
	return h32(organisation) % slotCount;
}

/** Number that ranks candidates for a job alike on every instance. */
export function scoreCandidate(job: string, candidate: string): number {
	return h32(`${job}\n${candidate}`);
}

/** Slot of a part. */
export function findSlot(part: number): number {
	return Math.floor(part / partCount);
}

/** Entries of the parts of `slot`, in part order. */
export function listSlotParts(record: LedgerRecord, slot: number): readonly string[] {
	return record.parts.slice(slot * partCount, (slot + 1) * partCount);
}

/** Owners of the parts of `slot`, each once, in part order. */
export function listSlotOwners(record: LedgerRecord, slot: number): InstanceId[] {
	const owners = listSlotParts(record, slot).filter(owner => owner !== newPart && owner !== freePart);
	return [...new Set(owners)] as InstanceId[];
}

/** Frees the parts of `owner` and ends its tenure. `handovers` has the parts whose state is known. */
export function removeOwner(record: LedgerRecord, owner: string, handovers: Readonly<Record<string, PartHandover>> = {}): LedgerRecord {
	const owners = Object.fromEntries(Object.entries(record.owners).filter(([id]) => id !== owner));
	const parts = record.parts.map(part => part === owner ? freePart : part);
	return {
		...record, owners, parts, handovers: {...record.handovers, ...handovers},
	};
}

/** One life of an owner. */
export type OwnerLife = {readonly self: InstanceId; readonly incarnation: Incarnation};

/** Selects the states of the parts that `owner` owns in `record`. */
export function selectHandovers(record: LedgerRecord, owner: OwnerLife, handovers: Readonly<Record<string, PartHandover>>): Record<string, PartHandover> {
	const isOwn = record.owners[owner.self]?.incarnation === owner.incarnation;
	return Object.fromEntries(Object.entries(handovers).filter(([part]) => isOwn && record.parts[Number(part)] === owner.self));
}

/** Reads and writes the ledger object. */
export class BudgetLedger {
	private writes = 0;

	constructor(private readonly objectApi: ObjectApi, private readonly incarnation: Incarnation) {}

	/** Reads the ledger; creates it when it does not exist. */
	async read(): Promise<LedgerSnapshot> {
		try {
			return convertSnapshot(await this.objectApi.get<LedgerRecord>(ledgerCollection, ledgerName));
		} catch (error) {
			if (!(error instanceof ObjectApiError) || error.failure !== 'notFound') {
				throw error;
			}
		}

		const parts = Array.from({length: slotCount * partCount}, () => newPart);
		try {
			const record: LedgerRecord = {
				revision: 1, writer: this.nextWriter(), owners: {}, parts, handovers: {},
			};
			return convertSnapshot(await this.objectApi.create(ledgerCollection, ledgerName, record));
		} catch (error) {
			if (!(error instanceof ObjectApiError) || error.failure !== 'conflict') {
				throw error;
			}
		}

		return convertSnapshot(await this.objectApi.get<LedgerRecord>(ledgerCollection, ledgerName));
	}

	/** Writes `record` over `snapshot`. Never rejects: a lost answer is read back, and is `unknown` when that settles nothing. */
	async write(snapshot: LedgerSnapshot, record: LedgerRecord): Promise<{outcome: LedgerWriteOutcome; snapshot?: LedgerSnapshot}> {
		const written: LedgerRecord = {...record, revision: snapshot.record.revision + 1, writer: this.nextWriter()};
		try {
			const object = await this.objectApi.update(ledgerCollection, ledgerName, written, snapshot.version);
			return {outcome: 'written', snapshot: convertSnapshot(object)};
		} catch (error) {
			const failure = error instanceof ObjectApiError ? error.failure : 'unknownOutcome';
			if (failure === 'conflict') {
				return {outcome: 'conflict'};
			}

			return failure === 'unknownOutcome' ? this.readBack(snapshot, written) : {outcome: 'unknown'};
		}
	}

	private async readBack(before: LedgerSnapshot, written: LedgerRecord): Promise<{outcome: LedgerWriteOutcome; snapshot?: LedgerSnapshot}> {
		try {
			const snapshot = await this.read();
			if (snapshot.record.writer === written.writer) {
				return {outcome: 'written', snapshot};
			}

			// A later version proves that the write can no longer take effect, but not that it did not.
			return {outcome: snapshot.version === before.version ? 'unknown' : 'conflict', snapshot};
		} catch {
			return {outcome: 'unknown'};
		}
	}

	private nextWriter(): string {
		this.writes += 1;
		return `${this.incarnation}:${this.writes}`;
	}
}

function convertSnapshot(object: StoredObject<LedgerRecord>): LedgerSnapshot {
	return {record: object.value, version: object.resourceVersion};
}
