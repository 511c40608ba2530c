/** Selects the target of a call's next attempt from this instance's view of the fleet. */

import {chooseTarget, type TargetQuery} from '../../fleet/choose-target/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {PrefixHints} from '../prefix-hints/index.js';
import type {SessionOptions} from '../session-types/index.js';

/** A call, its placement hints and the targets already tried. */
export type TargetSelection = {
	readonly session: Pick<SessionOptions, 'call' | 'service'>;
	readonly triedTargets: ReadonlySet<FleetTarget>;
	readonly hints: PrefixHints;
};

/**
 * Selects a target; returns undefined when none can take the call now.
 *
 * A target whose limit leaves no room counts as full: a permit is asked for, and the call goes elsewhere meanwhile.
 */
export function selectTarget({session, triedTargets, hints}: TargetSelection, context: ForwardingContext, now: MonotonicMs): FleetTarget | undefined {
	const {work} = session.call;
	const engineTokens = context.findService(session.service)?.engine?.memoryTokens;
	const targets = context.fleet.listServing(session.service, now);
	const query: TargetQuery = {
		targets,
		excluded: triedTargets,
		model: work?.model,
		versionHistory: work === undefined ? undefined : context.findVersionHistory(work.model),
		memory: work === undefined || engineTokens === undefined
			? undefined
			: {callTokens: hints.memoryTokens, engineTokens},
		sharedPrefix: hints.sharedPrefix,
		holders: hints.selectHolders(targets, now),
		dataCentre: context.dataCentre,
		draw: context.draw(),
	};
	const preferred = chooseTarget(query, now);
	if (preferred === undefined || context.limits.allows(preferred, now)) {
		return preferred;
	}

	context.limits.ask(preferred, now);
	return chooseTarget({...query, targets: targets.filter(target => context.limits.allows(target, now))}, now);
}

/** Whether a target other than `current` could take over the call. */
export function hasAlternativeTarget({session, triedTargets}: TargetSelection, current: FleetTarget, context: ForwardingContext, now: MonotonicMs): boolean {
	return context.fleet.listServing(session.service, now)
		.some(other => other !== current && !triedTargets.has(other) && !other.isSilent(now) && !other.isCordoned(now) && context.limits.allows(other, now));
}
