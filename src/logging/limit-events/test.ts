import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {LogFields} from '../create-logger/index.js';
import {limitEvents, maximumLinesPerSecond} from './index.js';

/** Creates a rate-limited logger and collects the lines that it writes. */
function createLimitedLogger() {
	const clock = new ManualClock();
	const lines: Array<{event: string; fields: LogFields | undefined}> = [];
	const recordLine = (event: string, fields?: LogFields) => {
		lines.push({event, fields});
	};

	return {clock, lines, logger: limitEvents({info: recordLine, warn: recordLine, error: recordLine}, clock)};
}

test('guards against a log flooded by one event, and reports how many lines were dropped', async () => {
	const {clock, lines, logger} = createLimitedLogger();
	for (let index = 0; index < 1000; index += 1) {
		logger.info('call finished', {outcome: 'answered'});
	}

	expect(lines.length).toEqual(maximumLinesPerSecond);
	await clock.advance(1000);
	logger.info('call finished', {outcome: 'answered'});
	expect(lines.slice(-2)).toEqual([
		{event: 'log lines left out', fields: {of: 'call finished', outcome: 'answered', count: 1000 - maximumLinesPerSecond}},
		{event: 'call finished', fields: {outcome: 'answered'}},
	]);
});

test('guards against rare events that are dropped because of frequent ones', () => {
	const {lines, logger} = createLimitedLogger();
	for (let index = 0; index < 1000; index += 1) {
		logger.info('call finished', {outcome: 'answered'});
	}

	logger.info('call finished', {outcome: 'outcomeUnknown'});
	logger.error('configuration refused');
	expect(lines.slice(-2).map(({event}) => event)).toEqual(['call finished', 'configuration refused']);
});
