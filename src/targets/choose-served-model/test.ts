import {describe, test} from 'node:test';
import {expect} from 'earl';
import type {ResolvedModel} from '../../configuration/configuration/index.js';
import type {ModelId, MonotonicMs} from '../../identity/ids/index.js';
import type {EngineMonitor} from '../engine-monitor/index.js';
import {chooseServedModel} from './index.js';

const model: ResolvedModel = {
	id: 'm' as ModelId, name: 'm', fleets: [], base: 'base', weightsVersion: 'v2', deterministic: false,
};

function choose(...versions: Array<string | undefined>): string {
	const monitors = versions.map(version => ({findReadyVersion: () => version}) as unknown as EngineMonitor);
	return chooseServedModel(model, monitors, 0 as MonotonicMs).weightsVersion;
}

describe('chooseServedModel', () => {
	test('guards against no service, or too little, while engines change to the declared version', () => {
		expect(choose('v1', 'v1', 'v1')).toEqual('v1');
		expect(choose('v1', 'v1', undefined)).toEqual('v1');
		expect(choose('v2', 'v1', 'v1')).toEqual('v1');
		expect(choose('v2', undefined, 'v1')).toEqual('v2');
		expect(choose('v2', 'v2', 'v1')).toEqual('v2');
		expect(choose(undefined, undefined)).toEqual('v2');
	});
});
