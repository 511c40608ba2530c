/** Assesses whether an instance stops sending to a new version at once, without waiting for the lease holder. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {judgeVersion, type BadVersion, type EvidenceSpan} from '../judge-version/index.js';

/** What the decision depends on. The last span is that of the whole rollout. */
export type StopQuery = {
	readonly spans: readonly EvidenceSpan[];
	/** When the version had given `manyBadAnswers` bad answers; undefined before. */
	readonly manyBadSince: MonotonicMs | undefined;
	/** Time after which a bad version may get no request any more. */
	readonly rollbackMs: number;
};

/** Number of bad answers from which the time until the rollback counts. */
export const manyBadAnswers = 50;
/** Part of `rollbackMs` after which weak evidence is enough; the rest is for the stop to reach all instances. */
const weakEvidenceFraction = 0.5;
/** Evidence that is then enough; see `judgeVersion`. */
const weakEvidence = 4;

/** Returns why the version is bad; undefined if calls may still go there. */
export function assessStop({spans, manyBadSince, rollbackMs}: StopQuery, now: MonotonicMs): BadVersion | undefined {
	const isLate = manyBadSince !== undefined && now - manyBadSince >= rollbackMs * weakEvidenceFraction;
	return judgeVersion(spans) ?? (isLate ? judgeVersion(spans.slice(-1), weakEvidence) : undefined);
}
