/** A rule that applies one kind of statement of targets to what this instance knows of them. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ForwardingContext} from '../../forwarding/forwarding-context/index.js';
import type {Attempt} from '../../forwarding/session-types/index.js';
import type {TargetStatements} from '../target-statements/index.js';

/** An answer of the expected target to a call of this instance. */
export type StatingAnswer = {
	readonly attempt: Pick<Attempt, 'target' | 'record'>;
	readonly statements: TargetStatements;
	/** Whether the target refused the call without running it. */
	readonly isRefusal: boolean;
	/** Whether it refused the call because it has no room. */
	readonly isOutOfRoom: boolean;
	readonly receivedAt: MonotonicMs;
};

/** What rules change, besides the target. */
export type StatementContext = Pick<ForwardingContext, 'clock' | 'logger' | 'fleet' | 'limits' | 'leavingNotices'>;

/** Applies its kind of statement, present or absent, and logs what changes. */
export type StatementRule = (answer: StatingAnswer, context: StatementContext) => void;
