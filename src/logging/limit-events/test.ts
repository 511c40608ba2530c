import {test} from 'node:test';
import {expect} from 'earl';
import {ManualClock} from '../../clock/manual-clock/index.js';
import type {LogFields} from '../create-logger/index.js';
import {limitEvents, maximumLines} from './index.js';

/** A limited logger with the lines that pass. */
function createLimited() {
	const clock = new ManualClock();
	const lines: Array<{event: string; fields: LogFields | undefined}> = [];
	const note = (event: string, fields?: LogFields) => {
		lines.push({event, fields});
	};

	return {clock, lines, logger: limitEvents({info: note, warn: note, error: note}, clock)};
}

test('guards against a storm of one event that floods the log, and tells how many lines are left out', async () => {
	const {clock, lines, logger} = createLimited();
	for (let index = 0; index < 1000; index += 1) {
		logger.info('call finished', {outcome: 'answered'});
	}

	expect(lines.length).toEqual(maximumLines);
	await clock.advance(1000);
	logger.info('call finished', {outcome: 'answered'});
	expect(lines.slice(-2)).toEqual([
		{event: 'log lines left out', fields: {of: 'call finished', outcome: 'answered', count: 1000 - maximumLines}},
		{event: 'call finished', fields: {outcome: 'answered'}},
	]);
});

test('guards against rare events that are left out because of frequent ones', () => {
	const {lines, logger} = createLimited();
	for (let index = 0; index < 1000; index += 1) {
		logger.info('call finished', {outcome: 'answered'});
	}

	logger.info('call finished', {outcome: 'outcomeUnknown'});
	logger.error('configuration refused');
	expect(lines.slice(-2).map(({event}) => event)).toEqual(['call finished', 'configuration refused']);
});
