import {test} from 'node:test';
import {expect} from 'earl';
import {classifyCallError} from '../../http/classify-call-error/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {callService, type ServiceOutcome, type ServiceQuery} from '../../standin/call-service/index.js';
import {LocalFleet, localSecret, otherSecret} from '../../standin/local-fleet/index.js';
import type {ServiceFaults} from '../../standin/service-faults/index.js';

const callId = 'call-1';

type Scenario = {
	readonly guards: string;
	readonly faults: Partial<ServiceFaults>;
	readonly query?: Partial<ServiceQuery>;
	readonly expected: {readonly status: number; readonly type?: string; readonly notRun?: true; readonly runs: number};
};

const scenarios: Scenario[] = [
	{
		guards: 'a non-idempotent call that is retried after its response was lost', faults: {lostAnswers: 1},
		expected: {status: 502, type: 'outcomeUnknown', runs: 1},
	},
	{
		guards: 'a call reported as "not run" without proof after a reset before it ran', faults: {resetsBeforeRun: 1},
		expected: {status: 502, type: 'outcomeUnknown', runs: 0},
	},
	{
		guards: 'an idempotent call that is not retried after its response was lost', faults: {lostAnswers: 1}, query: {method: 'GET'},
		expected: {status: 200, runs: 2},
	},
	{
		guards: 'a GET call that is retried although its route forbids it', faults: {lostAnswers: 1}, query: {method: 'GET', path: '/payments/pay'},
		expected: {status: 502, type: 'outcomeUnknown', runs: 1},
	},
	{
		guards: 'a call refused by every target that is not reported as "not run"', faults: {refusals: 9},
		expected: {
			status: 503, type: 'targetRefused', notRun: true, runs: 0,
		},
	},
	{
		guards: 'a call that is not retried after a target refused it without running it', faults: {refusals: 1}, expected: {status: 200, runs: 1},
	},
	{
		guards: 'a second run after an interim response', faults: {interimAnswers: 1}, expected: {status: 502, type: 'outcomeUnknown', runs: 1},
	},
	{
		guards: 'a response sent before the request body was read that is treated as a failure', faults: {earlyAnswers: 1}, query: {body: 'small'}, expected: {status: 413, runs: 0},
	},
	{
		guards: 'a call that hangs because the target sends no headers', faults: {delayMs: 2000}, expected: {status: 504, type: 'targetTimeout', runs: 1},
	},
	{
		guards: 'a truncated response that looks complete after the connection to the target breaks', faults: {brokenBodies: 1}, expected: {status: 0, runs: 1},
	},
	{
		guards: 'a response that hangs after the target stops sending its body', faults: {silentBodies: 1}, expected: {status: 0, runs: 1},
	},
];

async function runWithFleet(run: (fleet: LocalFleet, call: (query?: Partial<ServiceQuery>) => Promise<ServiceOutcome>) => Promise<void>): Promise<void> {
	const fleet = await new LocalFleet({engines: 0}).start();
	try {
		await run(fleet, async query => callService({
			address: fleet.address, secret: localSecret, method: 'POST', path: '/orders/book', callId, ...query,
		}));
	} finally {
		await fleet.stop();
	}
}

function countRuns(fleet: LocalFleet, id = callId): number {
	return fleet.services.reduce((sum, service) => sum + (service.runs.get(id) ?? 0), 0);
}

for (const scenario of scenarios) {
	test(`guards against ${scenario.guards}`, async () => {
		await runWithFleet(async (fleet, call) => {
			// The targets share one fault state, so that it does not matter which of them is chosen first.
			const [first, second] = fleet.services;
			Object.assign(second!, {faults: Object.assign(first!.faults, scenario.faults)});
			const {status, error} = await call(scenario.query);
			const {type, notRun, ...statusAndRuns} = scenario.expected;
			expect({
				status, type: error?.type, notRun: error?.not_run, runs: countRuns(fleet),
			}).toEqual({type, notRun, ...statusAndRuns});
		});
	});
}

test('guards against a non-idempotent call on a reused connection', async () => {
	await runWithFleet(async (fleet, call) => {
		for (let index = 0; index < 6; index += 1) {
			const outcome = await call({callId: `call-${index}`});
			expect(outcome.status).toEqual(200);
		}

		expect(fleet.services.map(service => service.reusedConnections)).toEqual([0, 0]);
	});
});

test('guards against a wrong "not run" or a second run when a connection is reset as soon as it is open', async () => {
	await runWithFleet(async (fleet, call) => {
		for (let index = 0; index < 20; index += 1) {
			fleet.services[index % 2]!.faults.resetsOnConnect = 1;
			const id = `reset-${index}`;
			const {status, error} = await call({callId: id});
			const runs = countRuns(fleet, id);
			expect(runs).toBeLessThanOrEqual(1);
			expect(status === 200 ? runs : 0).toEqual(status === 200 ? 1 : 0);
			expect(error?.not_run === true && runs > 0).toEqual(false);
		}
	});
});

test('guards against a partly sent body that is reported as "not run", and against a hang', async () => {
	await runWithFleet(async (fleet, call) => {
		const [first, second] = fleet.services;
		Object.assign(second!, {faults: first!.faults});
		for (let index = 0; index < 5; index += 1) {
			first!.faults.earlyAnswers = 1;
			const {status, error} = await call({body: Buffer.alloc(7_000_000, 'x')});
			// The early response may be lost, because a reset follows it.
			expect([413, 502].includes(status)).toEqual(true);
			expect({notRun: error?.not_run, runs: countRuns(fleet)}).toEqual({notRun: undefined, runs: 0});
		}
	});
});

test('guards against a call that fails although only one of two targets is down', async () => {
	await runWithFleet(async (fleet, call) => {
		fleet.services[0]!.server.close();
		for (let index = 0; index < 4; index += 1) {
			const outcome = await call({callId: `call-${index}`});
			expect(outcome.status).toEqual(200);
		}
	});
});

test('guards against retries that multiply the load of a failing service', async () => {
	await runWithFleet(async (fleet, call) => {
		for (const service of fleet.services) {
			service.faults.lostAnswers = 10_000;
		}

		await Promise.all(Array.from({length: 200}, async () => call({method: 'GET'})));
		expect(countRuns(fleet)).toBeLessThanOrEqual(200 + 20 + 20);
		expect(countRuns(fleet)).toBeGreaterThan(200);
	});
});

test('guards against a failing service that uses up the retries of another one', async () => {
	const fleet = await new LocalFleet({engines: 1}).start();
	try {
		const failing = 'orders' as ServiceId;
		while (fleet.context.findRetryBudget(failing).take(fleet.clock.readMonotonic())) {
			// Until none is left.
		}

		expect(fleet.context.findRetryBudget('base' as ServiceId).take(fleet.clock.readMonotonic())).toEqual(true);
	} finally {
		await fleet.stop();
	}
});

test('guards against a retry that is spent on a target which could not be reached', async () => {
	await runWithFleet(async (fleet, call) => {
		for (const service of fleet.services) {
			service.server.close();
		}

		const readLevel = () => fleet.context.findRetryBudget('orders' as ServiceId).readLevel(fleet.clock.readMonotonic());
		const before = readLevel();
		await Promise.all(Array.from({length: 5}, async (_, index) => call({callId: `call-${index}`})));
		expect(readLevel() >= before).toEqual(true);
	});
});

test('guards against a key in any header, query parameter or body that a target sees', async () => {
	await runWithFleet(async (fleet, call) => {
		const headers = {'x-api-key': localSecret, 'x-note': `a ${localSecret} b`, cookie: `k=${localSecret}`};
		const path = `/orders/book?a=1&key=${localSecret}&e=${localSecret.replace('l', '%6C')}&b=2`;
		const answered = await call({headers, path});
		expect(answered.status).toEqual(200);
		// On an open route, a caller sends its key in a query parameter and in a custom header.
		const open = await call({secret: undefined, path: `/public/x?token=${otherSecret}`, headers: {'x-token': otherSecret}});
		expect(open.status).toEqual(200);
		const escaped = JSON.stringify({note: localSecret}).replace('local', String.raw`l\u006fcal`);
		for (const body of [`note=${localSecret}`, escaped]) {
			const outcome = await call({body, headers: {'content-type': 'application/json'}});
			expect({status: outcome.status, notRun: outcome.error?.not_run}).toEqual({status: 400, notRun: true});
		}

		const refused = await call({path: `/orders/${localSecret}`});
		expect(refused.status).toEqual(400);
		const receivedTexts = fleet.services.flatMap(service => [...service.receivedTexts]);
		expect(receivedTexts.filter(line => line.includes(localSecret) || line.includes(otherSecret) || line.includes('%6C'))).toEqual([]);
		expect(receivedTexts.some(line => line.includes('/orders/book?a=1&b=2'))).toEqual(true);
	});
});

test('guards against methods, request bodies or large responses that are not forwarded', async () => {
	await runWithFleet(async (_fleet, call) => {
		for (const method of ['GET', 'HEAD', 'PUT', 'PATCH', 'DELETE', 'OPTIONS', 'PROPFIND']) {
			const {status, text} = await call({method, body: method === 'PUT' ? 'x'.repeat(3_000_000) : undefined});
			const seen = method === 'HEAD' ? undefined : (JSON.parse(text) as {method: string; bytes: number});
			expect({status, method: seen?.method ?? method, bytes: seen?.bytes ?? 0}).toEqual({status: 200, method, bytes: method === 'PUT' ? 3_000_000 : 0});
		}

		const large = await call({method: 'GET', path: '/orders/file?bytes=20000000'});
		expect(large.text.length).toEqual(20_000_000);
	});
});

test('guards against error codes of established connections that are treated as proof that nothing was sent', () => {
	expect(classifyCallError({code: 'ECONNREFUSED', syscall: 'connect'})).toEqual('neverConnected');
	expect(classifyCallError({code: 'UND_ERR_CONNECT_TIMEOUT'})).toEqual('neverConnected');
	for (const code of ['EHOSTUNREACH', 'ENETUNREACH', 'ECONNRESET', 'EPIPE', 'ETIMEDOUT']) {
		expect(classifyCallError({code, syscall: 'read'})).toEqual('unknown');
		expect(classifyCallError({code, syscall: 'write'})).toEqual('unknown');
	}

	const mixed = {errors: [{code: 'ECONNREFUSED', syscall: 'connect'}, {code: 'ECONNRESET', syscall: 'read'}]};
	expect(classifyCallError(mixed)).toEqual('unknown');
});
