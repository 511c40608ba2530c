import {test} from 'node:test';
import {expect} from 'earl';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {createTestQueue} from '../../fixtures/create-queued-call/index.js';
import type {
	InstanceId, MonotonicMs, OrganisationId, SoftwareVersion,
} from '../../identity/ids/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {idleAdmissionRecorder} from '../admission-recorder/index.js';

test('guards against capacity that goes to the call which looks first: priority and then age decide', async () => {
	const {clock, queue, room, arrive, listNames} = createTestQueue();
	arrive('low', {priority: 2});
	arrive('first');
	await clock.advance(20);
	arrive('second');
	arrive('high', {priority: 0});
	await clock.advance(10);
	for (let count = 0; count < 4; count += 1) {
		room.tokens = 1000;
		queue.wake();
		await clock.advance(1);
	}

	expect(listNames('sent')).toEqual(['high', 'first', 'second', 'low']);
});

test('guards against room that is only found at the next check, and against a call that is never looked at', async () => {
	const {clock, fleet, queue, room, arrive, events} = createTestQueue();
	for (const name of ['a', 'b', 'c']) {
		arrive(name);
	}

	await clock.advance(5);
	room.tokens = 1000;
	queue.wake();
	await clock.advance(0);
	room.tokens = 1000;
	fleet.notify();
	await clock.advance(0);
	room.tokens = 1000;
	await clock.advance(60);
	const sent = events.filter(({type}) => type === 'sent').map(({name, at}) => [name, at]);
	expect(sent.slice(0, 2)).toEqual([['a', 5], ['b', 5]]);
	expect([sent[2]![0], Number(sent[2]![1]) <= 65]).toEqual(['c', true]);
});

test('guards against a newcomer that takes the room of calls of its rank, and against one that waits behind lower ranks', async () => {
	const {clock, room, arrive, listNames} = createTestQueue();
	arrive('waiting');
	await clock.advance(5);
	room.tokens = 2000;
	arrive('newcomer');
	expect(listNames('sent')).toEqual([]);
	await clock.advance(1);
	expect(listNames('sent')).toEqual(['waiting', 'newcomer']);
	arrive('low', {priority: 2});
	room.tokens = 1000;
	arrive('high', {priority: 0});
	expect(listNames('sent').at(-1)).toEqual('high');
});

test('guards against idle room behind a call that cannot use it: too large, or bound to another version', () => {
	const {room, arrive, listNames} = createTestQueue();
	arrive('large', {needs: {memoryTokens: 9000}, costTokens: 9000});
	arrive('bound', {needs: {software: 'v1' as SoftwareVersion, memoryTokens: 10}, priority: 0});
	room.tokens = 500;
	arrive('small', {needs: {memoryTokens: 500}, costTokens: 500});
	expect(listNames('sent')).toEqual(['small']);
});

test('guards against a large call that small ones pass for ever, and against room that is held for one which fits nowhere', async () => {
	const {clock, queue, room, arrive, listNames} = createTestQueue();
	const small = {needs: {memoryTokens: 1000}, costTokens: 1000};
	arrive('large', {needs: {memoryTokens: 4000}, costTokens: 4000, latencyGoalMs: 5000});
	for (let index = 0; index < 30; index += 1) {
		room.tokens += 1000;
		queue.wake();
		await clock.advance(10);
		arrive(`small ${index}`, small);
	}

	const passed = listNames('sent').indexOf('large');
	expect(passed >= 8 && passed <= 12).toEqual(true);
	arrive('huge', {needs: {memoryTokens: 1e9}, costTokens: 10, latencyGoalMs: 5000});
	await clock.advance(10);
	for (let index = 0; index < 40; index += 1) {
		room.tokens = 1000;
		arrive(`later ${index}`, small);
		await clock.advance(10);
	}

	expect(listNames('sent').filter(name => name.startsWith('later')).length >= 10).toEqual(true);
});

test('guards against a call that loses its place because it was resumed in vain', async () => {
	const {clock, queue, room, arrive, listNames} = createTestQueue();
	arrive('first', {needs: {memoryTokens: 2000}});
	arrive('second', {needs: {memoryTokens: 2000}});
	for (let count = 0; count < 3; count += 1) {
		queue.wake();
		await clock.advance(10);
	}

	room.tokens = 2000;
	queue.wake();
	await clock.advance(1);
	expect(listNames('sent')).toEqual(['first']);
});

test('guards against work that grows with the queue: calls of the same needs are tried once in a pass', async () => {
	const {clock, queue, arrive, events} = createTestQueue();
	for (let index = 0; index < 500; index += 1) {
		arrive(`same ${index}`);
	}

	await clock.advance(1);
	for (let index = 0; index < 100; index += 1) {
		arrive(`other ${index}`, {needs: {memoryTokens: 999 - index}});
	}

	await clock.advance(1);
	const before = events.length;
	queue.wake();
	await clock.advance(1);
	expect(events.length - before).toEqual(8);
});

test('guards against too few asks for permits: calls before limited targets each try on their own', async () => {
	const {clock, fleet, queue, arrive, listNames} = createTestQueue();
	fleet.replace([createDescription('t')], 0 as MonotonicMs);
	fleet.listServing(createDescription('t').service)[0]!.limit.recordStated(1, 0 as MonotonicMs);
	for (let index = 0; index < 20; index += 1) {
		arrive(`call ${index}`);
	}

	await clock.advance(1);
	const before = listNames('tried').length;
	queue.wake();
	await clock.advance(1);
	expect(listNames('tried').length - before).toEqual(20);
});

test('guards against a timer for each call, and against one that is left without calls', async () => {
	const {clock, queue, arrive, countSleeps} = createTestQueue();
	const calls = Array.from({length: 50}, (_, index) => arrive(`call ${index}`));
	await clock.advance(5);
	expect(countSleeps()).toEqual(1);
	for (const call of calls) {
		queue.leave(call, 'ended', clock.readMonotonic());
	}

	await clock.advance(0);
	expect([countSleeps(), queue.length]).toEqual([0, 0]);
	arrive('later');
	await clock.advance(5);
	expect(countSleeps()).toEqual(1);
});

test('guards against calls that wait for ever: without room each ends with a refusal that spreads the returns', async () => {
	const {clock, arrive, events, countSleeps} = createTestQueue();
	arrive('a');
	await clock.advance(0);
	await clock.advance(700);
	expect(events.at(-1)).toEqual({
		name: 'a', type: 'refused', at: 600, error: events.at(-1)!.error!,
	});
	const {entry, notRun, retryAfterSeconds} = events.at(-1)!.error!;
	expect([entry.name, notRun, retryAfterSeconds! > 1 && retryAfterSeconds! < 10 / 3]).toEqual(['overloaded', true, true]);
	expect(countSleeps()).toEqual(0);
});

test('guards against a queue without bound: a call of a higher priority replaces one of a lower', () => {
	const refusals: unknown[] = [];
	const {queue, arrive, listNames} = createTestQueue({maximumCalls: 2}, {
		...idleAdmissionRecorder,
		recordRefusal(priority, reason) {
			refusals.push([priority, reason]);
		},
	});
	arrive('low', {priority: 2});
	arrive('middle');
	arrive('lowest', {priority: 3});
	arrive('high', {priority: 0, organisation: 'another' as OrganisationId});
	expect([listNames('refused'), queue.length, refusals]).toEqual([['lowest', 'low'], 2, [[3, 'full'], [2, 'full']]]);
});

test('guards against new rules for calls that pauses, limits or the version of their stream hold back', async () => {
	const error = createRouterError('targetsPaused');
	const {clock, arrive, events} = createTestQueue();
	arrive('paused', {
		planFixedWait: now => now < 2000 ? {type: 'wait', longestMs: 2000 - now} : {type: 'reject', error},
	});
	arrive('rejected', {planFixedWait: () => ({type: 'reject', error})});
	await clock.advance(0);
	await clock.advance(3000);
	const refused = events.filter(({type}) => type === 'refused');
	expect(refused.map(event => [event.name, event.at, event.error === error])).toEqual([['rejected', 0, true], ['paused', 2000, true]]);
});

test('guards against room that goes to a call while more urgent ones wait at another instance, and against one that leaves room for long', async () => {
	const {clock, backlog, room, arrive, events} = createTestQueue();
	const reportUrgent = () => {
		backlog.record('peer' as InstanceId, [['service-1' as ServiceId, 0, 1, 500]], clock.readMonotonic() + 1000 as MonotonicMs);
	};

	reportUrgent();
	room.tokens = 10_000;
	arrive('yielding');
	arrive('urgent', {priority: 0});
	arrive('small', {needs: {memoryTokens: 400}});
	await clock.advance(0);
	reportUrgent();
	await clock.advance(400);
	const sent = events.filter(({type}) => type === 'sent');
	expect(sent.map(({name}) => name)).toEqual(['urgent', 'small', 'yielding']);
	expect(sent[2]!.at >= 250 && sent[2]!.at <= 310).toEqual(true);
});

test('guards against a call that is sent again at once to the targets that have just refused it, or stops others meanwhile', async () => {
	const {clock, room, arrive, events} = createTestQueue();
	arrive('refused', {earliestAt: 60 as MonotonicMs});
	room.tokens = 2000;
	await clock.advance(0);
	await clock.advance(10);
	arrive('newcomer');
	await clock.advance(100);
	expect(events.filter(({type}) => type === 'sent').map(({name, at}) => [name, at])).toEqual([['newcomer', 10], ['refused', 60]]);
});

test('guards against a call that evicts others in vain because it exceeds the bounds by itself', () => {
	const {arrive, listNames} = createTestQueue({maximumBytes: 1_000_000});
	arrive('low', {priority: 2});
	arrive('oversized', {priority: 0, bytes: 2_000_000});
	expect(listNames('refused')).toEqual(['oversized']);
});
