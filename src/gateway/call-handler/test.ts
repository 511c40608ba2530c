import {createServer} from 'node:http';
import {test, type TestContext} from 'node:test';
import {setTimeout as delay} from 'node:timers/promises';
import {expect} from 'earl';
import {request} from 'undici';
import {SystemClock} from '../../clock/clock/index.js';
import {createFixedRetries} from '../../fixtures/create-fixed-retries/index.js';
import {createMember} from '../../fixtures/create-member/index.js';
import {createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {formatAnswer, refuse, type Script} from '../../fixtures/play-call/index.js';
import {startGatewayFleet, type GatewayFleet} from '../../fixtures/start-gateway-fleet/index.js';
import {startRawServer} from '../../fixtures/start-raw-server/index.js';
import {startSilentTargets, streamPath, type SilentTargets} from '../../fixtures/start-silent-targets/index.js';
import {startTestGateway} from '../../fixtures/start-test-gateway/index.js';
import {createDescription} from '../../fixtures/create-fleet-target/index.js';
import {CallHandover} from '../../handover/call-handover/index.js';
import {priorRequestsHeader, remainingHeader, servedHeader} from '../../handover/handover-headers/index.js';
import {listenLocally} from '../../http/listen-locally/index.js';
import type {InstanceId} from '../../identity/ids/index.js';
import {quietLogger} from '../../logging/quiet-logger/index.js';
import {RandomSource} from '../../random/random-source/index.js';
import type {RetryAllowance} from '../service-retry-budgets/index.js';

const answerOk: Script = (socket, id) => {
	socket.write(formatAnswer(id, '200 OK', 'ok'));
};

/** Starts a gateway with `retries` before a target, to which callers and other instances send calls. */
async function startInstance(t: TestContext, script: Script, retries: number) {
	const budget = createFixedRetries(retries);
	const counted = {calls: 0, requests: 0};
	const target = await startRawServer((socket, head) => {
		counted.requests += 1;
		script(socket, /x-id: (\S+)/u.exec(head)?.[1] ?? '', head);
	});
	const configuration = createRoutingConfiguration({routes: [createRoute('r', {host: '127.0.0.1', kind: 'idempotent', maximumAttempts: 1})]});
	const gateway = await startTestGateway(configuration, [createDescription('t', {address: target.address, weightsVersions: new Map()})], {
		findRetryBudget: () => ({
			...budget,
			recordCall() {
				counted.calls += 1;
			},
		}),
	});
	const peerServer = createServer((message, response) => {
		gateway.listener.serveHandedOver(message, response);
	});
	const peerAddress = await listenLocally(peerServer);
	t.after(() => {
		gateway.close();
		target.close();
		peerServer.closeAllConnections();
		peerServer.close();
	});
	const send = async (address: string, headers: Record<string, string>) => {
		const {statusCode, headers: received, body} = await request(`http://${address}/x`, {method: 'POST', headers: {'x-id': 'c1', ...headers}, body: 'b'});
		await body.dump();
		return {status: statusCode, isServed: servedHeader in received, isNotRun: 'x-not-run' in received};
	};

	return {
		budget, counted,
		passOn: async (priorRequests?: number) => send(peerAddress, {
			[remainingHeader]: '1000', ...(priorRequests === undefined ? {} : {[priorRequestsHeader]: String(priorRequests)}),
		}),
		call: async (headers: Record<string, string>) => send(gateway.address, headers),
	};
}

test('guards against a call that is passed on after a request of it was sent, and whose next request is not paid for', async t => {
	const {passOn, budget, counted} = await startInstance(t, answerOk, 1);
	expect([await passOn(2), budget.readLevel(), counted]).toEqual([{status: 200, isServed: true, isNotRun: false}, 0, {calls: 0, requests: 1}]);
});

test('guards against a call that is passed on and sent although no retry is left, or counted as taken', async t => {
	const {passOn, counted} = await startInstance(t, answerOk, 0);
	const {status, isServed} = await passOn(1);
	expect([status, isServed, counted]).toEqual([503, false, {calls: 0, requests: 0}]);
});

test('guards against paying for a call that is passed on before it was sent, also by an instance of an earlier release', async t => {
	const {passOn, counted} = await startInstance(t, answerOk, 0);
	const current = await passOn(0);
	const earlier = await passOn();
	expect([current.status, earlier.status, counted]).toEqual([200, 200, {calls: 2, requests: 2}]);
});

test('guards against callers that say how many requests were sent', async t => {
	const {call, counted} = await startInstance(t, answerOk, 0);
	const {status} = await call({[priorRequestsHeader]: '3'});
	expect([status, counted]).toEqual([200, {calls: 1, requests: 1}]);
});

test('guards against "not run" for a call that another instance may have run before', async t => {
	const {passOn} = await startInstance(t, refuse, 1);
	expect([await passOn(1), await passOn(0)]).toEqual([
		{status: 502, isServed: true, isNotRun: false}, {status: 503, isServed: true, isNotRun: true},
	]);
});

test('guards against an instance that takes a call over and is not told that its request has reached a target', async t => {
	const prior: unknown[] = [];
	const peer = createServer((message, response) => {
		prior.push(message.headers[priorRequestsHeader]);
		response.writeHead(200, {[servedHeader]: 'true'}).end();
	});
	const target = await startRawServer(socket => {
		socket.destroy();
	});
	const peers = [createMember('i1', {peerAddress: await listenLocally(peer)})];
	const handover = new CallHandover({
		self: 'i0' as InstanceId, clock: new SystemClock(), logger: quietLogger, random: new RandomSource(1),
		reachability: {
			isCutOff: true, canConnect: true, shouldHandOver: () => false, settle: async () => undefined,
		},
		peers: {
			list: () => peers,
			isMember: () => true,
			recordCutOff() {
				throw new Error('the other instance is not cut off');
			},
			recordSilent() {
				throw new Error('the other instance is not silent');
			},
		},
	});
	const gateway = await startTestGateway(
		createRoutingConfiguration({routes: [createRoute('r', {host: '127.0.0.1', maximumAttempts: 1})]}),
		[createDescription('t', {address: target.address, weightsVersions: new Map()})],
		{},
		handover,
	);
	t.after(() => {
		gateway.close();
		target.close();
		peer.closeAllConnections();
		peer.close();
	});
	const {statusCode, body} = await request(`http://${gateway.address}/x`, {method: 'POST', headers: {'x-id': 'c1'}, body: 'b'});
	await body.dump();
	expect([statusCode, prior]).toEqual([200, ['1']]);
});

/** Time for which targets are silent, in milliseconds. */
const silenceMs = 1250;

/** Share of the targets that fall silent, and the calls that are sent meanwhile. */
type Silence = {
	readonly share: number;
	readonly path: string;
	readonly perSecond: number;
	readonly calledInstances: number;
	readonly allowance: RetryAllowance;
};

/** Sends calls while targets fall silent and instances are busy; resolves when all calls have ended. */
async function simulateSilence(fleet: GatewayFleet, targets: SilentTargets, {share, perSecond, path}: Silence) {
	const sending = fleet.sendFor(3000, perSecond, path);
	await delay(800);
	targets.silence(share, silenceMs);
	await delay(950);
	for (const instance of fleet.instances) {
		instance.hold(1000);
	}

	await sending;
	await fleet.settle();
}

const silences: readonly Silence[] = [
	{
		share: 1, path: '/plain', perSecond: 300, calledInstances: 3, allowance: {ratio: 0.01, extra: 4, windowMs: 10_000},
	},
	{
		share: 0.6, path: streamPath, perSecond: 80, calledInstances: 8, allowance: {ratio: 0.2, extra: 56, windowMs: 10_000},
	},
];

for (const silence of silences) {
	test(`guards against more requests at targets than the budget of all instances when ${silence.share} of the targets fall silent`, async t => {
		const targets = await startSilentTargets(t, 10);
		const fleet = await startGatewayFleet(t, {
			instances: 8, calledInstances: silence.calledInstances, targets: targets.descriptions, allowance: silence.allowance,
			routes: [{pathPrefix: streamPath, kind: 'streaming', isResumable: true}, {}],
		});
		await simulateSilence(fleet, targets, silence);
		const repeats = targets.countRepeats();
		const allowed = (silence.allowance.ratio * fleet.callCount) + silence.allowance.extra;
		t.diagnostic(`${repeats} repeats of ${fleet.callCount} calls, ${fleet.countHandovers()} passed on, ${allowed} allowed`);
		expect([repeats <= allowed, fleet.answers.filter(({status}) => status === 200).length > 0.9 * fleet.callCount]).toEqual([true, true]);
	});
}

test('guards against a budget so tight that no stalled stream moves to a target that goes on', async t => {
	const targets = await startSilentTargets(t, 10);
	const fleet = await startGatewayFleet(t, {
		instances: 8, targets: targets.descriptions, allowance: {ratio: 0.2, extra: 56, windowMs: 10_000},
		routes: [{pathPrefix: streamPath, kind: 'streaming', isResumable: true}],
	});
	const sending = fleet.sendFor(2400, 80, streamPath);
	await delay(1200);
	targets.silence(0.6, 10_000);
	await sending;
	await fleet.settle();
	expect([targets.countRepeats() > 30, targets.countRepeats() <= (0.2 * fleet.callCount) + 56]).toEqual([true, true]);
	t.diagnostic(`${targets.countRepeats()} repeats of ${fleet.callCount} calls`);
});
