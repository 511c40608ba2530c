import {test} from 'node:test';
import {expect} from 'earl';
import {createRoute} from '../../fixtures/create-routing-configuration/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {ResultName} from '../../results/result-codes/index.js';
import {canRescue} from './index.js';

test('guards against passing on a call that may have run once, or one that was refused for another reason than its targets', () => {
	const results: ResultName[] = ['targetRefused', 'noTarget', 'outcomeUnknown', 'budgetExceeded', 'stopping', 'softwareGone', 'streamBroken'];
	const listRescued = (kind: 'idempotent' | 'nonIdempotent') => results.filter(name => canRescue(createRouterError(name), createRoute('r', {kind})));
	expect(listRescued('nonIdempotent')).toEqual(['targetRefused', 'noTarget']);
	expect(listRescued('idempotent')).toEqual(['targetRefused', 'noTarget', 'outcomeUnknown']);
});

test('guards against calls of an instance without paths that end because their targets seem full', () => {
	expect(canRescue(createRouterError('overloaded'), createRoute('r', {kind: 'nonIdempotent'}))).toEqual(true);
});
