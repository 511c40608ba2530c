/**
 * The budget ledger: a single object in the object API that maps the parts of 64 slots to their owners.
 * Organisations are hashed to slots. Each write is conditional on the version that was read before.
 */

import createXxhash from 'xxhash-wasm';
import type {
	FencingNumber, Incarnation, InstanceId, OrganisationId, ResourceVersion,
} from '../../identity/ids/index.js';
import {ObjectApiError, type ObjectApi, type StoredObject} from '../../store/object-api/index.js';
import {partsPerSlot, slotCount} from '../budget-timings/index.js';

export const ledgerCollection = 'budgetledgers';
const ledgerName = 'main';

/** Marks a part that never had an owner. Instance IDs are never empty and never `*`. */
export const newPartMark = '*';
/** Marks a part whose owner gave it up or died. */
export const freePartMark = '';

/** Term of an owner. It may use its parts only under the term that is recorded here. */
export type LedgerOwner = {
	readonly incarnation: Incarnation;
	/** Fencing number of the owner's instance lease. */
	readonly fencing: FencingNumber;
	/** Whether the owner may have granted tokens to other instances. */
	readonly isShared: boolean;
};

/**
 * State of a part when its owner gave it up, as shares of the part's burst. Every organisation had at
 * least this level and at most this many outstanding tokens.
 */
export type PartHandover = {readonly level: number; readonly outstanding: number};

/** Value of the ledger object. */
export type LedgerRecord = {
	readonly revision: number;
	/** ID of the write. Identifies the write when its answer was lost and the ledger is read back. */
	readonly writer: string;
	readonly owners: Readonly<Record<string, LedgerOwner>>;
	/** Owner ID of each part, or `newPartMark` or `freePartMark`. */
	readonly parts: readonly string[];
	/** States of the free parts that were handed over by their owners, by part number. */
	readonly handovers: Readonly<Record<string, PartHandover>>;
};

/** Ledger record with the version that a conditional write requires. */
export type LedgerSnapshot = {readonly record: LedgerRecord; readonly version: ResourceVersion};

/** Outcome of a write. After `unknown`, the write may still take effect until the version changes. */
export type LedgerWriteOutcome = 'written' | 'conflict' | 'unknown';

const {h32} = await createXxhash();

/** Slot of an organisation. */
export function chooseSlot(organisation: OrganisationId): number {
	return h32(organisation) % slotCount;
}

/** Rendezvous hash by which every instance ranks the candidates for a job in the same order. */
export function scoreCandidate(job: string, candidate: string): number {
	return h32(`${job}\n${candidate}`);
}

/** Slot of a part. */
export function findSlotOfPart(part: number): number {
	return Math.floor(part / partsPerSlot);
}

/** Owner IDs or marks of the parts of `slot`, in part order. */
export function listSlotParts(record: LedgerRecord, slot: number): readonly string[] {
	return record.parts.slice(slot * partsPerSlot, (slot + 1) * partsPerSlot);
}

/** Distinct owners of the parts of `slot`, in part order. */
export function listSlotOwners(record: LedgerRecord, slot: number): InstanceId[] {
	const owners = listSlotParts(record, slot).filter(owner => owner !== newPartMark && owner !== freePartMark);
	return [...new Set(owners)] as InstanceId[];
}

/** Frees the parts of `owner` and ends its term. `handovers` holds the states of its parts, as far as they are known. */
export function removeOwner(record: LedgerRecord, owner: string, handovers: Readonly<Record<string, PartHandover>> = {}): LedgerRecord {
	const owners = Object.fromEntries(Object.entries(record.owners).filter(([id]) => id !== owner));
	const parts = record.parts.map(part => part === owner ? freePartMark : part);
	return {
		...record, owners, parts, handovers: {...record.handovers, ...handovers},
	};
}

/** Identifies one incarnation of an owner. */
export type OwnerIdentity = {readonly self: InstanceId; readonly incarnation: Incarnation};

/** Selects the states of those parts that `owner` owns in `record`. */
export function selectHandovers(record: LedgerRecord, owner: OwnerIdentity, handovers: Readonly<Record<string, PartHandover>>): Record<string, PartHandover> {
	const isCurrentTerm = record.owners[owner.self]?.incarnation === owner.incarnation;
	return Object.fromEntries(Object.entries(handovers).filter(([part]) => isCurrentTerm && record.parts[Number(part)] === owner.self));
}

/** Reads and writes the ledger object. */
export class BudgetLedger {
	private writeCount = 0;

	constructor(private readonly objectApi: ObjectApi, private readonly incarnation: Incarnation) {}

	/** Reads the ledger and creates it if it does not exist. */
	async read(): Promise<LedgerSnapshot> {
		try {
			return convertSnapshot(await this.objectApi.get<LedgerRecord>(ledgerCollection, ledgerName));
		} catch (error) {
			if (!(error instanceof ObjectApiError) || error.failure !== 'notFound') {
				throw error;
			}
		}

		const parts = Array.from({length: slotCount * partsPerSlot}, () => newPartMark);
		try {
			const record: LedgerRecord = {
				revision: 1, writer: this.createWriterId(), owners: {}, parts, handovers: {},
			};
			return convertSnapshot(await this.objectApi.create(ledgerCollection, ledgerName, record));
		} catch (error) {
			if (!(error instanceof ObjectApiError) || error.failure !== 'conflict') {
				throw error;
			}
		}

		return convertSnapshot(await this.objectApi.get<LedgerRecord>(ledgerCollection, ledgerName));
	}

	/**
	 * Replaces the ledger read as `snapshot` by `record`. Never rejects: if the answer is lost, the ledger
	 * is read back, and the outcome is `unknown` if that does not decide it.
	 */
	async write(snapshot: LedgerSnapshot, record: LedgerRecord): Promise<{outcome: LedgerWriteOutcome; snapshot?: LedgerSnapshot}> {
		const written: LedgerRecord = {...record, revision: snapshot.record.revision + 1, writer: this.createWriterId()};
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

			// A later version proves that the write can no longer take effect, but not that it never did: it may have been overwritten.
			return {outcome: snapshot.version === before.version ? 'unknown' : 'conflict', snapshot};
		} catch {
			return {outcome: 'unknown'};
		}
	}

	private createWriterId(): string {
		this.writeCount += 1;
		return `${this.incarnation}:${this.writeCount}`;
	}
}

function convertSnapshot(object: StoredObject<LedgerRecord>): LedgerSnapshot {
	return {record: object.value, version: object.resourceVersion};
}
