import {test} from 'node:test';
import {expect} from 'earl';
import {createRoute} from '../../fixtures/create-routing-configuration/index.js';
import type {RequestId} from '../../identity/ids/index.js';
import type {CallKind, ServiceId} from '../../routing/routing-types/index.js';
import {drawService} from './index.js';

const requestCount = 1000;

function createSplitRoute(kind: CallKind) {
	return createRoute('r', {kind, shares: [{service: 'a' as ServiceId, weight: 90}, {service: 'b' as ServiceId, weight: 10}]});
}

test('guards against a stream that is taken up at another service of its route', () => {
	const route = createSplitRoute('streaming');
	let drawn = 0;
	const draw = () => {
		drawn = (drawn + 0.37) % 1;
		return drawn;
	};

	const services = Array.from({length: requestCount}, (_, index) => {
		const first = `r${index}` as RequestId;
		const begun = drawService(route, {id: first, resumes: undefined}, draw);
		expect(drawService(route, {id: `again${index}` as RequestId, resumes: first}, draw)).toEqual(begun);
		return begun;
	});
	const share = services.filter(service => service === 'b').length / requestCount;
	expect(share > 0.07 && share < 0.13).toEqual(true);
});

test('guards against calls without a stream whose service depends on ids that callers choose', () => {
	const route = createSplitRoute('idempotent');
	const services = [0, 0.95].map(fraction => drawService(route, {id: 'r1' as RequestId, resumes: undefined}, () => fraction));
	expect(services.map(String)).toEqual(['a', 'b']);
});
