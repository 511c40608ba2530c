import process from 'node:process';
import {test} from 'node:test';
import {expect} from 'earl';
import {startGatewayFeeds} from '../../fixtures/start-gateway-feeds/index.js';

test('guards against warnings of a listener leak when all watches break at the same time', async () => {
	const warnings: string[] = [];
	const record = ({name}: Error) => {
		warnings.push(name);
	};

	process.on('warning', record);
	const {clock, objectApi, instances} = startGatewayFeeds(3);
	await clock.advance(500);
	objectApi.setDown(true);
	await clock.advance(2000);
	objectApi.faults.isDown = false;
	await clock.advance(2000);
	for (const {stop} of instances) {
		stop();
	}

	process.off('warning', record);
	expect(warnings).toEqual([]);
});
