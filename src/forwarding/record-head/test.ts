import {test} from 'node:test';
import {expect} from 'earl';
import {TargetFleet} from '../../fleet/target-fleet/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {noStatements} from '../../statements/target-statements/index.js';
import type {ResponseHead} from '../call-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {Attempt} from '../session-types/index.js';
import {recordHead} from './index.js';

const at = (ms: number) => ms as MonotonicMs;
const okHead: ResponseHead = {
	status: 200, headers: [], isNotRun: false, isGenuine: true, isOtherTarget: false, weightsVersion: undefined, statements: noStatements, isUnframed: false,
};

/** Returns the speed that is learned of a target that answers calls at once with `head`, beside one that needs 0.1 s. */
function learnSpeed(head: ResponseHead, prefillTokens = 5000): number {
	const fleet = new TargetFleet(quietLogger);
	fleet.replace([createDescription('quick'), createDescription('other')], at(0));
	const context: Partial<ForwardingContext> = {};
	const answer = (id: string, sentHead: ResponseHead, ms: number) => {
		const target = fleet.locate(id as TargetId)!;
		const attempt: Partial<Attempt> = {target, record: target.beginCall(prefillTokens, at(0))};
		recordHead(attempt as Attempt, sentHead, undefined, context as ForwardingContext, at(ms));
		target.endCall(attempt.record!);
	};

	for (let call = 0; call < 20; call += 1) {
		answer('other', okHead, 100);
		answer('quick', head, 20);
	}

	return fleet.locate('quick' as TargetId)!.speed.read(at(100));
}

test('learns the speed of a target from its successful answers', () => {
	expect(learnSpeed(okHead) > 1.2).toEqual(true);
});

test('guards against a failing target that draws calls because its errors come quickly', () => {
	expect(learnSpeed({...okHead, status: 500})).toEqual(1);
	expect(learnSpeed({...okHead, status: 503, isNotRun: true})).toEqual(1);
	expect(learnSpeed({...okHead, isGenuine: false})).toEqual(1);
});

test('guards against speeds learned from calls whose work is unknown', () => {
	expect(learnSpeed(okHead, 0)).toEqual(1);
});
