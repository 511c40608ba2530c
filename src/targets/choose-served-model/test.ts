import {describe, test} from 'node:test';
import {expect} from 'earl';
import type {ResolvedModel} from '../../configuration/configuration/index.js';
import type {ModelId, MonotonicMs} from '../../identity/ids/index.js';
import type {EngineMonitor} from '../engine-monitor/index.js';
import {chooseServedModel} from './index.js';

const model: ResolvedModel = {
	id: 'm' as ModelId, name: 'm', fleets: [], base: 'base', weightsVersion: 'v2', deterministic: false,
};

function chooseVersion(...versions: Array<string | undefined>): string {
	const monitors = versions.map(version => ({findReadyVersion: () => version}) as unknown as EngineMonitor);
	return chooseServedModel(model, monitors, 0 as MonotonicMs).weightsVersion;
}

describe('chooseServedModel', () => {
	test('guards against an outage or too little capacity while engines change to the declared version', () => {
		expect(chooseVersion('v1', 'v1', 'v1')).toEqual('v1');
		expect(chooseVersion('v1', 'v1', undefined)).toEqual('v1');
		expect(chooseVersion('v2', 'v1', 'v1')).toEqual('v1');
		expect(chooseVersion('v2', undefined, 'v1')).toEqual('v2');
		expect(chooseVersion('v2', 'v2', 'v1')).toEqual('v2');
		expect(chooseVersion(undefined, undefined)).toEqual('v2');
	});
});
