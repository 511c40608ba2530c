import {test} from 'node:test';
import {expect} from 'earl';
import {findRequestTrace} from './index.js';

/** Logs of two instances; the second one begins earlier than the first. */
const firstLog = [
	'time=2026-01-01T00:00:05.000Z level=info event="attempt failed" instance=a id=r1 target=t1 attempt=1 failure=notSent reason="connect ECONNREFUSED" step=retry',
	'time=2026-01-01T00:00:05.100Z level=info event="call finished" instance=a id=r1 outcome=answered status=200 target=t2',
	'time=2026-01-01T00:00:05.050Z level=info event="call finished" instance=a id=r2 outcome=answered status=200 target=t1',
	'time=2026-01-01T00:00:20.000Z level=info event="target gone" instance=a target=t1',
].join('\n');
const secondLog = [
	'not a log line',
	'time=2026-01-01T00:00:04.000Z level=info event="weights ordered" instance=b target=t1 outcome=unreachable',
	'time=2026-01-01T00:00:04.500Z level=info event="weights ordered" instance=b target=t3 outcome=accepted',
].join('\n');

test('guards against a trace that lacks the cause of a failed attempt, which another instance logged', () => {
	const trace = findRequestTrace('r1', [firstLog, secondLog])!;
	expect(trace.request.map(({text}) => /event="([^"]*)"/u.exec(text)?.[1])).toEqual(['attempt failed', 'call finished']);
	expect(trace.targets.map(({text}) => text.includes('weights ordered') && text.includes('t1'))).toEqual([true]);
});

test('guards against matching a request whose id only begins with the given id', () => {
	expect(findRequestTrace('r', [firstLog, secondLog])).toEqual(undefined);
});
