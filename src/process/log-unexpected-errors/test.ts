import {spawnSync} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {test} from 'node:test';
import {expect} from 'earl';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {logUnexpectedErrors} from './index.js';

test('logs whatever was thrown', () => {
	const reasons: string[] = [];
	const log: EventLogger['error'] = (event, fields) => {
		reasons.push(`${event}: ${String(fields?.reason).split('\n')[0]}`);
	};

	const listeners = new Map<string, (reason: unknown) => void>();
	logUnexpectedErrors({
		on(event, listener) {
			listeners.set(event, listener);
		},
	}, {info: log, warn: log, error: log});
	listeners.get('uncaughtException')!(new TypeError('wrong'));
	listeners.get('unhandledRejection')!(undefined);
	expect(reasons).toEqual(['uncaught exception: TypeError: wrong', 'unhandled rejection: undefined']);
});

test('guards against a process that one error in a timer, a socket or a promise ends', () => {
	const modulePath = fileURLToPath(new URL('index.ts', import.meta.url));
	const script = `
		import {EventEmitter} from 'node:events';
		import {logUnexpectedErrors} from ${JSON.stringify(modulePath)};
		const log = event => { console.log(event); };
		logUnexpectedErrors(process, {info: log, warn: log, error: log});
		setTimeout(() => { throw new Error('timer'); }, 1);
		setTimeout(() => { new EventEmitter().emit('error', new Error('socket')); }, 2);
		setTimeout(() => { Promise.reject(new Error('promise')); }, 3);
		setTimeout(() => { console.log('still running'); }, 50);
	`;
	const {stdout, status} = spawnSync(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', script], {encoding: 'utf8'});
	expect(stdout.trim().split('\n')).toEqual(['uncaught exception', 'uncaught exception', 'unhandled rejection', 'still running']);
	expect(status).toEqual(0);
});
