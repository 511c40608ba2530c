/** Selects the target of a call's next attempt from this instance's view of the fleet. */

import {chooseTarget, type TargetChoice} from '../../fleet/choose-target/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CallVersions} from '../call-versions/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {PrefixHints} from '../prefix-hints/index.js';
import {listCandidates} from '../list-candidates/index.js';
import type {SessionOptions} from '../session-types/index.js';
import type {StreamOrigin} from '../stream-origin/index.js';

/** A call, its placement hints and the targets already tried. */
export type TargetSelection = {
	readonly session: Pick<SessionOptions, 'call' | 'service'>;
	readonly triedTargets: ReadonlySet<FleetTarget>;
	readonly hints: PrefixHints;
	readonly origin: StreamOrigin;
	readonly versions?: Pick<CallVersions, 'select' | 'retreat' | 'recordFailure'> | undefined;
};

/**
 * Selects a target; returns undefined when none can take the call now.
 *
 * A target whose limit leaves no room counts as full: a permit is asked for, and the next best target is tried.
 */
export function selectTarget(selection: TargetSelection, context: ForwardingContext, now: MonotonicMs): FleetTarget | undefined {
	const {session, triedTargets, hints} = selection;
	const {work} = session.call;
	const engineTokens = context.findService(session.service)?.engine?.memoryTokens;
	const targets = listCandidates(selection, context.fleet);
	const holders = hints.selectHolders(targets, now);
	const policy = context.readPlacementPolicy?.();
	const excluded = new Set([...triedTargets, ...targets.filter(target => mayHaveOtherSoftware(selection, target, now))]);
	const query: TargetChoice = {
		targets,
		excluded,
		model: work?.model,
		versionHistory: work === undefined ? undefined : context.findVersionHistory(work.model),
		memory: work === undefined || engineTokens === undefined
			? undefined
			: {callTokens: hints.memoryTokens, engineTokens},
		sharedPrefix: hints.sharedPrefix,
		holders,
		// Only a policy of the settings reads the rate.
		...(policy === undefined ? {} : {promptTokensPerSecond: hints.measurePromptTokensPerSecond(holders, now), policy}),
		dataCentre: context.dataCentre,
		draw: context.draw(),
	};
	let target = chooseTarget(query, now);
	while (target !== undefined && !context.limits.allows(target, now)) {
		context.limits.ask(target, now);
		excluded.add(target);
		target = chooseTarget(query, now);
	}

	return target === undefined && selection.versions?.retreat() === true ? selectTarget(selection, context, now) : target;
}

/** Whether a target other than `current` could take over the call. */
export function hasAlternativeTarget(selection: TargetSelection, current: FleetTarget, context: ForwardingContext, now: MonotonicMs): boolean {
	const others = listCandidates(selection, context.fleet).filter(other => other !== current && !selection.triedTargets.has(other));
	return others.some(other => !mayHaveOtherSoftware(selection, other, now) && !other.isSilent(now)
		&& !other.isCordoned(now) && !other.isPaused(now) && context.limits.allows(other, now));
}

/** Whether the stream of a call that has begun may not go on at `target`, since a process with other software may answer there by now. */
function mayHaveOtherSoftware({origin}: TargetSelection, {restartSuspicion}: FleetTarget, now: MonotonicMs): boolean {
	return origin.isBound && restartSuspicion.isSuspected(now);
}
