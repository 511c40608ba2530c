import {inspect} from 'node:util';
import {test} from 'node:test';
import {expect} from 'earl';
import type {UntrustedBody} from '../../soak/untrusted-caller/index.js';
import {runUntrustedCallers} from './index.js';

const kibibyte = 1024;
const bodyBytes = 512 * kibibyte;
/** Callers whose bodies together take three times the memory for bodies. */
const crowdSize = 400;
/** Callers whose chunks of 8 bytes take 24 times their size when each is kept as an object. */
const smallChunkCrowdSize = 24;
/** One caller of this many completes its body. */
const completionInterval = 8;
/** Memory for bodies by default, and as much again for buffers that are no longer used and not yet collected. */
const maximumGrowthBytes = 2 * 64 * kibibyte * kibibyte;

function buildBodies(): UntrustedBody[] {
	const long = Array.from({length: crowdSize}, (_, index) => ({
		sentBytes: bodyBytes, pieceBytes: 64 * kibibyte, announcedBytes: index % 2 === 0 ? bodyBytes : undefined, isCutShort: index % completionInterval !== 0,
	}));
	const short = Array.from({length: smallChunkCrowdSize}, () => ({sentBytes: bodyBytes, pieceBytes: 8, isCutShort: true}));
	return [...long, ...short];
}

test('guards against a daemon that runs out of memory by bodies that stop before their end', {timeout: 90_000}, async context => {
	const report = await runUntrustedCallers(buildBodies(), {limits: {bodyBytes}});
	context.diagnostic(inspect(report, {breakLength: Infinity}));
	const {isAlive, statusAfterwards, peakBytes, settledBytes} = report;
	const isBounded = peakBytes - settledBytes <= maximumGrowthBytes;
	expect({isAlive, statusAfterwards, isBounded}).toEqual({isAlive: true, statusAfterwards: 200, isBounded: true});
});
