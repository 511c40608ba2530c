/** Reads the head of another instance's answer to a call that was passed on. */

import {isUnframed} from '../../http/is-unframed/index.js';
import {
	cutOffHeader, filterHeaders, isForwarded, servedHeader,
} from '../handover-headers/index.js';

/** What a head tells. */
export type PeerHead = {
	readonly status: number;
	/** Headers for the caller, as alternating names and values. */
	readonly headers: readonly string[];
	/** Whether the instance has taken the call. */
	readonly isServed: boolean;
	/** Whether the instance reaches no target either. */
	readonly isCutOff: boolean;
	/** Whether only the end of the connection delimits the body. */
	readonly isUnframed: boolean;
	/** Whether the call was refused or has failed, so that the answer of another instance is better. */
	readonly isFailure: boolean;
};

const tooManyRequestsStatus = 429;
const firstServerErrorStatus = 500;

/** Parses the head of the answer to a call with `method`. */
export function parsePeerHead(method: string, status: number, rawHeaders: readonly string[]): PeerHead {
	const names = new Set(rawHeaders.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase()));
	return {
		status,
		headers: filterHeaders(rawHeaders, isForwarded),
		isServed: names.has(servedHeader),
		isCutOff: names.has(cutOffHeader),
		isUnframed: isUnframed(method, status, name => names.has(name)),
		isFailure: status === tooManyRequestsStatus || status >= firstServerErrorStatus,
	};
}
