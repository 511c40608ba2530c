import {test} from 'node:test';
import {expect} from 'earl';
import {createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {CurrentRouting} from './index.js';

test('guards against calls that are served before the other collections have arrived', () => {
	const state = {canServe: false};
	const routing = new CurrentRouting(() => state.canServe, quietLogger);
	const table = routing.apply(createRoutingConfiguration());
	expect([routing.readForCall(), routing.table === table]).toEqual([undefined, true]);
	state.canServe = true;
	expect(routing.readForCall() === table).toEqual(true);
});

test('notes a call that came before the first configuration, and no call that only waits for other collections', () => {
	const routing = new CurrentRouting(() => false, quietLogger);
	routing.findUsable();
	expect(routing.isMissed).toEqual(false);
	routing.apply(createRoutingConfiguration());
	routing.readForCall();
	expect(routing.isMissed).toEqual(false);
	const early = new CurrentRouting(() => false, quietLogger);
	early.readForCall();
	expect(early.isMissed).toEqual(true);
});
