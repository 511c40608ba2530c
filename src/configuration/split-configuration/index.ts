/** Splits a configuration into parts by the hash of each item's kind and id, and joins the parts again. */

import {createHash} from 'node:crypto';
import {compareText} from '../../names/join-specifications/index.js';
import type {ConfigurationData, ResolvedKey} from '../configuration/index.js';
import {hashText, type PartHash} from '../configuration-head/index.js';

/** Kinds of items, in the order in which a part lists them. */
const itemKinds = ['organisations', 'keys', 'models', 'routes', 'targets'] as const;

type ItemKind = typeof itemKinds[number];

/** One resolved resource in a part. */
export type PartItem = {readonly kind: ItemKind; readonly item: ConfigurationData[ItemKind][number]};

/** Content of a part. */
export type PartContent = {readonly items: readonly PartItem[]};

/** Splits `data` into non-empty parts, indexed by content hash and in order of their slot. */
export function splitConfiguration(data: ConfigurationData): ReadonlyMap<PartHash, PartContent> {
	const slots = new Map<number, Array<PartItem & {readonly id: string}>>();
	for (const kind of itemKinds) {
		for (const item of data[kind]) {
			const id = formatItemId(kind, item);
			const slot = chooseSlot(kind, id);
			const items = slots.get(slot) ?? [];
			items.push({kind, item, id});
			slots.set(slot, items);
		}
	}

	const parts = [...slots].toSorted(([a], [b]) => a - b).map(([, items]) => {
		const sortedItems = items.toSorted((a, b) => compareText(a.kind, b.kind) || compareText(a.id, b.id));
		const content: PartContent = {items: sortedItems.map(({kind, item}) => ({kind, item}))};
		return [hashPart(content), content] as const;
	});
	return new Map(parts);
}

/** Joins the contents of all parts into one configuration. */
export function joinParts(parts: Iterable<PartContent>): ConfigurationData {
	const data: Record<ItemKind, unknown[]> = {
		organisations: [], keys: [], models: [], routes: [], targets: [],
	};
	for (const part of parts) {
		for (const {kind, item} of part.items) {
			data[kind].push(item);
		}
	}

	return data as ConfigurationData;
}

/** Hashes a part's content independently of the order of fields. */
export function hashPart(content: PartContent): PartHash {
	return hashText(formatCanonicalJson(content)) as PartHash;
}

/** Formats `value` as JSON with the fields of each object sorted by name. */
function formatCanonicalJson(value: unknown): string {
	return JSON.stringify(value, (_, nested: unknown) => {
		if (typeof nested !== 'object' || nested === null || Array.isArray(nested)) {
			return nested;
		}

		return Object.fromEntries(Object.entries(nested).toSorted(([a], [b]) => compareText(a, b)));
	});
}

/** Formats an item's id. A key is identified by its label, since its hash changes when the secret is replaced. */
function formatItemId(kind: ItemKind, item: PartItem['item']): string {
	if (kind === 'keys') {
		const key = item as ResolvedKey;
		return `${key.fleet}/${key.name}`;
	}

	return (item as Exclude<PartItem['item'], ResolvedKey>).id;
}

/** Chooses one of 256 slots by the first byte of a hash. */
function chooseSlot(kind: ItemKind, id: string): number {
	return createHash('sha256').update(`${kind}\n${id}`).digest()[0]!;
}
