import {test} from 'node:test';
import {expect} from 'earl';
import {callService, type ServiceOutcome, type ServiceQuery} from '../../standin/call-service/index.js';
import {waitFor} from '../../standin/wait-for/index.js';
import {LocalFleet, localSecret, otherSecret} from '../../standin/local-fleet/index.js';
import {IdempotencyRecords} from './index.js';

type Call = (query?: Partial<ServiceQuery>) => Promise<ServiceOutcome>;

const collection = 'idempotencyrecords';

async function readStatus(call: Promise<ServiceOutcome>): Promise<number> {
	const {status} = await call;
	return status;
}

async function runWithFleet(run: (fleet: LocalFleet, call: Call) => Promise<void>): Promise<void> {
	const fleet = await new LocalFleet({engines: 0}).start();
	const [first, second] = fleet.services;
	Object.assign(second!, {faults: first!.faults});
	try {
		await run(fleet, async query => callService({
			address: fleet.address, secret: localSecret, method: 'POST', path: '/orders/book', callId: 'call-1', body: '{"seat":1}',
			headers: {'idempotency-key': 'key-1'}, ...query,
		}));
	} finally {
		await fleet.stop();
	}
}

function countRuns(fleet: LocalFleet): number {
	return fleet.services.reduce((sum, service) => sum + (service.runs.get('call-1') ?? 0), 0);
}

async function countRecords(fleet: LocalFleet): Promise<number> {
	const {items} = await fleet.objectApi.list(collection);
	return items.length;
}

function summarise({status, error}: ServiceOutcome): unknown {
	return {status, type: error?.type, notRun: error?.not_run};
}

test('guards against a second run under the same key, and against a different response to the repeated call', async () => {
	await runWithFleet(async (fleet, call) => {
		const first = await call();
		const second = await call();
		expect([first.status, second.status, countRuns(fleet)]).toEqual([200, 200, 1]);
		expect(second.text).toEqual(first.text);
		expect(second.headers['idempotency-replayed']).toEqual('true');
	});
});

test('guards against a call that runs while the first call with the same key is in flight', async () => {
	await runWithFleet(async (fleet, call) => {
		fleet.services[0]!.faults.delayMs = 200;
		const first = call();
		await waitFor(() => countRuns(fleet) === 1);
		expect(summarise(await call())).toEqual({status: 409, type: 'idempotencyConflict', notRun: undefined});
		expect([await readStatus(first), countRuns(fleet)]).toEqual([200, 1]);
	});
});

test('guards against replaying a response to a different request under the same key', async () => {
	await runWithFleet(async (fleet, call) => {
		await call();
		expect(summarise(await call({body: '{"seat":2}'}))).toEqual({status: 422, type: 'idempotencyMismatch', notRun: true});
		expect(countRuns(fleet)).toEqual(1);
	});
});

test('guards against replaying the response of another organisation under the same key', async () => {
	await runWithFleet(async (fleet, call) => {
		await call();
		expect([await readStatus(call({secret: otherSecret})), countRuns(fleet)]).toEqual([200, 2]);
	});
});

test('guards against a call with an idempotency key that runs while the store is down', async () => {
	await runWithFleet(async (fleet, call) => {
		fleet.objectApi.setDown(true);
		expect(summarise(await call())).toEqual({status: 503, type: 'storeUnavailable', notRun: true});
		expect(countRuns(fleet)).toEqual(0);
	});
});

test('guards against a claim that is treated as that of another call because the store\'s response was lost', async () => {
	await runWithFleet(async (fleet, call) => {
		fleet.objectApi.faults.lostAnswers = 1;
		expect([await readStatus(call()), countRuns(fleet)]).toEqual([200, 1]);
		const {headers} = await call();
		expect(headers['idempotency-replayed']).toEqual('true');
	});
});

test('guards against a second run after the response of the target was lost', async () => {
	await runWithFleet(async (fleet, call) => {
		fleet.services[0]!.faults.lostAnswers = 1;
		expect(summarise(await call())).toEqual({status: 502, type: 'outcomeUnknown', notRun: undefined});
		expect(summarise(await call())).toEqual({status: 409, type: 'idempotencyConflict', notRun: undefined});
		expect(countRuns(fleet)).toEqual(1);
	});
});

test('guards against a key that stays blocked after a call that did not run', async () => {
	await runWithFleet(async (fleet, call) => {
		fleet.services[0]!.faults.refusals = 3;
		expect(summarise(await call())).toEqual({status: 503, type: 'targetRefused', notRun: true});
		expect([await readStatus(call()), countRuns(fleet)]).toEqual([200, 1]);
	});
});

test('guards against a response that is lost because it is too large for a record', async () => {
	await runWithFleet(async (fleet, call) => {
		const path = '/orders/file?bytes=3000000';
		const first = await call({path});
		expect(first.text.length).toEqual(3_000_000);
		const second = await call({path});
		expect(summarise(second)).toEqual({status: 409, type: 'idempotencyConflict', notRun: undefined});
		expect(second.error?.message.includes('too large')).toEqual(true);
		expect(countRuns(fleet)).toEqual(1);
	});
});

test('guards against a caller that can never learn the outcome after its deadline passed', async () => {
	await runWithFleet(async (fleet, call) => {
		fleet.services[0]!.faults.delayMs = 100;
		const headers = {'idempotency-key': 'key-1', 'x-timeout-ms': '30'};
		expect(await readStatus(call({headers}))).toEqual(504);
		await waitFor(() => fleet.objectApi.calls.write === 2);
		expect([await readStatus(call()), countRuns(fleet)]).toEqual([200, 1]);
	});
});

test('guards against idempotency keys that unauthenticated callers of open routes share', async () => {
	await runWithFleet(async (_fleet, call) => {
		expect(summarise(await call({path: '/public/x', secret: undefined}))).toEqual({status: 400, type: 'malformedRequest', notRun: true});
	});
});

test('guards against records that are never removed, and against the removal of records that have not expired', async () => {
	await runWithFleet(async (fleet, call) => {
		await call();
		const now = fleet.clock.readWall();
		expect(await fleet.context.idempotency.removeExpired(now)).toEqual(0);
		const dayMs = 86_400_000;
		expect(await fleet.context.idempotency.removeExpired((now + (2 * dayMs)) as typeof now)).toEqual(1);
		expect(await countRecords(fleet)).toEqual(0);
		await call();
		// Another instance removes the records of a crashed one.
		const other = new IdempotencyRecords({objectApi: fleet.objectApi, clock: fleet.clock, metrics: fleet.context.metrics});
		expect([await other.removeOrphans(now), await countRecords(fleet)]).toEqual([0, 1]);
		expect([await other.removeOrphans((now + (2 * dayMs)) as typeof now), await countRecords(fleet)]).toEqual([1, 0]);
	});
});
