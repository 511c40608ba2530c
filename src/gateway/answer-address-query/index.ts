/** Answers a caller's request for addresses of instances. */

import type {Clock} from '../../clock/clock/index.js';
import type {JsonResponse} from '../../http/start-json-server/index.js';
import {chooseAddresses} from '../../membership/choose-addresses/index.js';
import type {Member} from '../../membership/member/index.js';
import type {Membership} from '../../membership/membership/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import type {PlatformAdapter} from '../platform-adapter/index.js';

/** Validity of an address answer, in seconds. */
export const addressValiditySeconds = 1;

/** Dependencies of the answer. */
export type AddressSource = {
	readonly adapter: PlatformAdapter;
	readonly membership: Membership;
	readonly random: RandomSource;
	readonly clock: Clock;
	/** Whether a member should get no new callers, as long as there are others. */
	readonly isAvoided: (member: Member) => boolean;
};

/** Answers with addresses of live instances, or with 404 if the URL is no request for addresses. */
export function answerAddressQuery(url: URL, {adapter, membership, random, clock, isAvoided}: AddressSource): JsonResponse {
	const query = adapter.parseAddressQuery(url);
	if (query === undefined) {
		return {status: 404, body: {}};
	}

	const live = membership.listLive(clock.readMonotonic());
	const addresses = chooseAddresses({
		live, self: membership.readSelf(), dataCentre: query.dataCentre, isAvoided,
	}, random);
	return adapter.buildAddressAnswer(addresses.map(member => member.callerAddress), addressValiditySeconds);
}
