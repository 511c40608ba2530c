/** What a call's prompt says about its placement: the shared prefix, its name space and its holders. */

import type {SharedPrefix} from '../../fleet/choose-target/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import {formatPrefixKey, type PrefixDirectory, type PrefixKey} from '../../fleet/prefix-directory/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {CallerOrganisation} from '../../routing/routing-types/index.js';
import type {EngineWork} from '../call-types/index.js';

/** Shared tokens below which neither placement nor transfers of cache entries pay. */
const shortestPrefixTokens = 1000;

/** Hints of one call. */
export class PrefixHints {
	/** Undefined when the call shares too little to matter. */
	readonly sharedPrefix: SharedPrefix | undefined;

	constructor(
		private readonly work: EngineWork | undefined,
		private readonly organisation: CallerOrganisation | undefined,
		private readonly directory: PrefixDirectory,
	) {
		this.sharedPrefix = findSharedPrefix(work);
	}

	/** Tokens of memory that the call takes at an engine. */
	get memoryTokens(): number {
		return this.work === undefined ? 0 : this.work.promptTokens + this.work.maximumOutputTokens;
	}

	/**
	 * Name space of the call's cache entries at `target`: they hold for one version of the weights, and for
	 * one organisation only if that is isolated. Undefined for calls of plain services.
	 */
	formatCacheScope(target: FleetTarget): string | undefined {
		if (this.work === undefined) {
			return undefined;
		}

		const owner = this.organisation?.isIsolated ? this.organisation.id : '';
		return `${owner}/${target.readVersion(this.work.model) ?? 0}`;
	}

	/** Selects the targets that probably hold the shared prefix for the weights that they have. */
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

	/** Notes that `target` has the shared prefix from now on. */
	noteUse(target: FleetTarget, now: MonotonicMs): void {
		const key = this.formatKey(target);
		if (key !== undefined) {
			this.directory.noteOwnUse(key, target.description.id, now);
		}
	}

	/** Prompt tokens that `target` computes for the call. */
	estimatePrefill(target: FleetTarget, now: MonotonicMs): number {
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

/** The deepest part of the prompt that other calls share: all but the last part. */
function findSharedPrefix(work: EngineWork | undefined): SharedPrefix | undefined {
	const shared = work?.parts.slice(0, -1) ?? [];
	const last = shared.at(-1);
	const tokens = shared.reduce((sum, part) => sum + part.tokens, 0);
	return last === undefined || tokens < shortestPrefixTokens ? undefined : {id: last.id, tokens};
}
