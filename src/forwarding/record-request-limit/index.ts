/** Records what the head of an answer says about the request limit of its target. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {ResponseHead} from '../call-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {Attempt} from '../session-types/index.js';

type LimitRecorders = Pick<ForwardingContext, 'logger' | 'limits'>;

/** Records the limit in a head that was received at `now`. A limit counts on refusals too; only an answer of the expected target ends it. */
export function recordRequestLimit({target, record}: Attempt, head: ResponseHead, {logger, limits}: LimitRecorders, now: MonotonicMs): void {
	const {limit, description: {id}} = target;
	const {requestLimit, isGenuine, isNotRun, isOtherTarget} = head;
	if (!isGenuine && (!isNotRun || isOtherTarget)) {
		return;
	}

	if (requestLimit === 'invalid') {
		logger.warn('target limit ignored', {target: id, reason: 'not a decimal number'});
	} else if (requestLimit !== 'none') {
		if (limit.recordStated(requestLimit, now)) {
			logger.info('target limit changed', {target: id, requestsPerSecond: requestLimit, source: 'answer'});
			limits.announce(target);
		}
	} else if (isGenuine && limit.recordAbsent(record.sentAt)) {
		logger.info('target limit ended', {target: id, source: 'answer'});
		limits.announce(target);
	}
}
