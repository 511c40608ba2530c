import {test} from 'node:test';
import {expect} from 'earl';
import {createRoute} from '../../fixtures/create-routing-configuration/index.js';
import type {ServiceId} from '../routing-types/index.js';
import {chooseService} from './index.js';

const splitRoute = createRoute('split', {shares: [{service: 'a' as ServiceId, weight: 90}, {service: 'b' as ServiceId, weight: 10}]});

test('splits calls by weight', () => {
	const draws = Array.from({length: 100}, (_, index) => chooseService(splitRoute, index / 100) as string);
	expect(draws.filter(service => service === 'a').length).toEqual(90);
});

test('guards against sending calls to a service without weight', () => {
	const route = createRoute('none', {shares: [{service: 'a' as ServiceId, weight: 0}]});
	expect(chooseService(route, 0.5)).toEqual(undefined);
});
