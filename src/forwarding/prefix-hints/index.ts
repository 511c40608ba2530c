/** Placement hints from a call's prompt: the shared prefix, its cache namespace and the targets that hold it. */

import type {SharedPrefix} from '../../fleet/target-query/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import {formatPrefixKey, type PrefixDirectory, type PrefixKey} from '../../fleet/prefix-directory/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {EngineWork} from '../call-types/index.js';

/** Shorter shared prefixes justify neither placement by prefix nor transfers of cache entries. */
const minimumPrefixTokens = 1000;

/** Placement hints of one call. */
export class PrefixHints {
	/** Undefined when the shared prefix is too short. */
	readonly sharedPrefix: SharedPrefix | undefined;

	/** `readNamespace` returns the namespace of the call's cache entries in the configuration in force. */
	constructor(
		private readonly work: EngineWork | undefined,
		private readonly readNamespace: () => string,
		private readonly directory: PrefixDirectory,
	) {
		this.sharedPrefix = findSharedPrefix(work);
	}

	/** Engine memory that the call needs, in tokens. */
	get memoryTokens(): number {
		return this.work === undefined ? 0 : this.work.promptTokens + this.work.maximumOutputTokens;
	}

	/**
	 * Formats the scope of the call's cache entries at `target`. Entries are valid for one namespace and one weights version.
	 * Undefined for calls to plain services.
	 */
	formatCacheScope(target: FleetTarget): string | undefined {
		return this.work === undefined ? undefined : `${this.readNamespace()}/${target.readVersion(this.work.model) ?? 0}`;
	}

	/** Selects the targets that probably hold the shared prefix for their current weights. */
	selectHolders(targets: readonly FleetTarget[], now: MonotonicMs): ReadonlySet<FleetTarget> {
		const holdersByKey = new Map<PrefixKey, readonly TargetId[]>();
		return new Set(targets.filter(target => {
			const key = this.formatKey(target);
			if (key === undefined) {
				return false;
			}

			const holders = holdersByKey.get(key) ?? this.directory.listHolders(key, now);
			holdersByKey.set(key, holders);
			return holders.includes(target.description.id);
		}));
	}

	/** Estimates the tokens beyond the shared prefix that calls of all instances bring to its holders in a second. */
	measurePromptTokensPerSecond(holders: ReadonlySet<FleetTarget>, now: MonotonicMs): number {
		const keys = new Set([...holders].map(holder => this.formatKey(holder)));
		let usesPerSecond = 0;
		for (const key of keys) {
			usesPerSecond += key === undefined ? 0 : this.directory.readUsesPerSecond(key, now);
		}

		return usesPerSecond * (this.work?.parts.at(-1)?.tokens ?? 0);
	}

	/** Records that `target` holds the shared prefix from now on. */
	recordUse(target: FleetTarget, now: MonotonicMs): void {
		const key = this.formatKey(target);
		if (key !== undefined) {
			this.directory.recordOwnUse(key, target.description.id, now);
		}
	}

	/** Estimates the prompt tokens that `target` has to compute for the call. */
	estimatePrefillTokens(target: FleetTarget, now: MonotonicMs): number {
		if (this.work === undefined) {
			return 0;
		}

		const {parts, promptTokens} = this.work;
		return this.selectHolders([target], now).has(target) ? parts.at(-1)?.tokens ?? promptTokens : promptTokens;
	}

	private formatKey(target: FleetTarget): PrefixKey | undefined {
		const scope = this.formatCacheScope(target);
		return scope === undefined || this.sharedPrefix === undefined ? undefined : formatPrefixKey(scope, this.sharedPrefix.id);
	}
}

/** Finds the prefix that other calls share: all parts of the prompt but the last. Its id is that of its last part. */
function findSharedPrefix(work: EngineWork | undefined): SharedPrefix | undefined {
	const sharedParts = work?.parts.slice(0, -1) ?? [];
	const lastPart = sharedParts.at(-1);
	const tokens = sharedParts.reduce((sum, part) => sum + part.tokens, 0);
	return lastPart === undefined || tokens < minimumPrefixTokens ? undefined : {id: lastPart.id, tokens};
}
