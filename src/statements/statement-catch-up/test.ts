import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {InstanceId, TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import type {PeerMethodHandler} from '../../peers/peer-caller/index.js';
import {FakePeerNetwork} from '../../peers/fake-peer-network/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import {readStatementsMethod, StatementCatchUp} from './index.js';

const stepMs = 100;

/** Starts an instance whose only peer answers with `handler`, and lets two minutes pass. */
async function catchUp(handler: PeerMethodHandler) {
	const clock = new ManualClock();
	const network = new FakePeerNetwork(clock);
	const endpoint = network.open('self' as InstanceId);
	const fleet = new TargetFleet(quietLogger);
	const askedAt: number[] = [];
	network.open('peer' as InstanceId).register(readStatementsMethod, async (parameters, from) => {
		askedAt.push(clock.readMonotonic());
		return handler(parameters, from);
	});
	const controller = new AbortController();
	const left: string[] = [];
	void new StatementCatchUp({
		clock, logger: quietLogger, random: new RandomSource(1), fleet, caller: endpoint, registry: endpoint,
		leavingNotices: {
			apply({id}) {
				left.push(id);
			},
		},
		listPeers: () => [createMember('peer')],
	}).run(controller.signal);
	for (let passedMs = 0; passedMs < 120_000; passedMs += stepMs) {
		await clock.advance(stepMs);
	}

	controller.abort();
	return {askedAt, left, fleet};
}

test('guards against asks without bound at a peer that refuses them, as one of an earlier build does', async () => {
	const {askedAt} = await catchUp(async () => {
		throw new Error('method is not registered');
	});
	expect(askedAt.length <= 20).toEqual(true);
});

test('guards against malformed answers that are applied in part', async () => {
	for (const statements of [undefined, {}, [{target: 't1', startedAt: 1, isLeaving: true}, {target: 7}], [{target: '', startedAt: 1, isLeaving: true}]]) {
		const {left, fleet} = await catchUp(async () => ({statements}));
		expect([left.length, fleet.statements.countUnlisted()]).toEqual([0, 0]);
	}
});

test('guards against a limit or a brittleness that seems to have been stated only when a peer passed it on, so that answers given meanwhile do not end it', async () => {
	const row = {
		target: 't1', startedAt: 1, isLeaving: false, limit: {requestsPerSecond: 2, ageMs: 500}, brittle: {refusalsPerSecond: 6, ageMs: 500},
	};
	const {askedAt, fleet} = await catchUp(async () => ({statements: [row]}));
	const {limit, brittleness} = fleet.statements.list()[0]!.statements;
	expect([askedAt.length, fleet.statements.list()[0]!.incarnation.id, limit.read()]).toEqual([3, 't1' as TargetId, 2]);
	expect(limit.readStatedAt() as number).toEqual(askedAt.at(-1)! - 500);
	expect([brittleness.read(), brittleness.readStatedAt() as number]).toEqual([6, askedAt.at(-1)! - 500]);
});
