import {test} from 'node:test';
import {expect} from 'earl';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import {createCallError} from './index.js';

const refusal = createRouterError('targetRefused');

function abort(name: ResultName): AbortSignal {
	return AbortSignal.abort(createRouterError(name));
}

test('guards against "not run" for a request that an earlier attempt may have run', () => {
	const {signal} = new AbortController();
	const names = [true, false].map(mayHaveRun => createCallError(refusal, {mayHaveRun, signal}).entry.name);
	expect(names).toEqual(['outcomeUnknown', 'targetRefused']);
});

test('guards against a deadline that is reported as a timeout of the target although nothing was sent', () => {
	const signal = abort('targetTimeout');
	const names = [true, false].map(mayHaveRun => createCallError(refusal, {mayHaveRun, signal}).entry.name);
	expect(names).toEqual(['targetTimeout', 'overloaded']);
});
