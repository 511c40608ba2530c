import {test} from 'node:test';
import {expect} from 'earl';
import {sendRawRequest} from '../../fixtures/send-raw-request/index.js';
import {LocalFleet, localSecret} from '../../standin/local-fleet/index.js';

const head = `POST /orders HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${localSecret}\r\n`;

test('guards against a body that stands still and keeps its memory, and against one that counts after its call', async () => {
	const fleet = await new LocalFleet({limits: {bodyStallMs: 200}}).start();
	try {
		const stalled = await sendRawRequest(fleet.address, `${head}content-length: 100\r\n\r\nabc`);
		expect([stalled.head.startsWith('HTTP/1.1 408'), stalled.head.includes('x-not-run: true')]).toEqual([true, true]);
		const answered = await sendRawRequest(fleet.address, `${head}content-length: 2\r\n\r\n{}`);
		expect(answered.head.startsWith('HTTP/1.1 200')).toEqual(true);
		expect([fleet.context.intake.budget.heldBytes, fleet.context.intake.budget.count]).toEqual([0, 0]);
	} finally {
		await fleet.stop();
	}
});
