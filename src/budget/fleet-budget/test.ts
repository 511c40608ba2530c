import {test} from 'node:test';
import {expect} from 'earl';
import type {ResolvedOrganisation} from '../../configuration/configuration/index.js';
import type {OrganisationId} from '../../identity/ids/index.js';
import {createLogger} from '../../logging/create-logger/index.js';
import {createRandom} from '../create-random/index.js';
import {SimulatedFleet} from '../simulated-fleet/index.js';

const organisation: ResolvedOrganisation = {
	id: 'organisation-0' as OrganisationId, tokensPerSecond: 10_000, burstTokens: 20_000, weight: 1,
};

test('guards against refusals at a new second instance until the first one reads the ledger again', async () => {
	const fleet = new SimulatedFleet({
		random: createRandom(1), instances: 1, organisations: [organisation], logger: createLogger({}, true),
	});
	// The first instance writes the ledger while it is alone, so its entry allows no grants to peers until it reads and writes the ledger again seconds later.
	await fleet.clock.advance(500);
	fleet.startNode(1);
	await fleet.clock.advance(500);
	const refusals: Array<string | undefined> = [];
	for (let index = 0; index < 5; index += 1) {
		const outcome = fleet.offerRequest(1, {
			organisation: organisation.id, tokens: 100, usedTokens: 100, durationMs: 50,
		});
		await fleet.clock.advance(600);
		refusals.push(await outcome);
	}

	expect(refusals).toEqual(Array.from({length: 5}, () => undefined));
});
