/**
 * Remembers which services have brittle targets. A target that falls over comes back as another one, of which nothing has
 * been stated; all instances would send to it at once and fell it again. Until its first answer it therefore counts as
 * brittle, too.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {IncarnationStatements} from '../incarnation-statements/index.js';

/** Time for which a target that is gone counts, in milliseconds. */
const retentionMs = 60_000;

/** A listed target and what has been stated of it. */
type ListedTarget = {readonly description: {readonly service: ServiceId}; readonly statements: Pick<IncarnationStatements, 'brittleness'>};

/** Services with brittle targets. */
export class BrittleServices {
	private readonly goneByService = new Map<ServiceId, {readonly refusalsPerSecond: number; readonly until: MonotonicMs}>();

	/** Records that a target is gone. */
	recordGone({description: {service}, statements: {brittleness}}: ListedTarget, now: MonotonicMs): void {
		const refusalsPerSecond = brittleness.read();
		if (refusalsPerSecond !== undefined) {
			this.goneByService.set(service, {refusalsPerSecond, until: now + retentionMs as MonotonicMs});
		}
	}

	/** Takes a target of which nothing has been stated for as brittle as the most brittle one of its service; `others` are the listed targets. */
	complete({description: {service}, statements: {brittleness}}: ListedTarget, others: Iterable<ListedTarget>, now: MonotonicMs): void {
		const isUnknown = brittleness.readStatedAt() === Number.NEGATIVE_INFINITY;
		const refusalsPerSecond = isUnknown ? this.findLowest(service, others, now) : undefined;
		if (refusalsPerSecond !== undefined) {
			brittleness.recordStated(refusalsPerSecond, now);
		}
	}

	private findLowest(service: ServiceId, targets: Iterable<ListedTarget>, now: MonotonicMs): number | undefined {
		const gone = this.goneByService.get(service);
		const stated = [...targets]
			.filter(target => target.description.service === service)
			.map(target => target.statements.brittleness.read())
			.filter(value => value !== undefined);
		const known = gone !== undefined && now < gone.until ? [gone.refusalsPerSecond, ...stated] : stated;
		return known.length === 0 ? undefined : Math.min(...known);
	}
}
