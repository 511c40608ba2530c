/** Waits for slow callers. */

import type {ServerResponse} from 'node:http';
import {createRouterError} from '../../results/create-router-error/index.js';

/** Waits until the written data has been drained to the caller. Disconnects a caller that does not drain it within `stallTimeoutMs`. */
export async function waitForDrain(response: ServerResponse, stallTimeoutMs?: number): Promise<void> {
	checkConnected(response);
	await new Promise<void>(resolve => {
		const timer = stallTimeoutMs === undefined
			? undefined
			: setTimeout(() => {
				response.destroy();
			}, stallTimeoutMs);
		const finish = () => {
			clearTimeout(timer);
			response.off('drain', finish);
			response.off('close', finish);
			resolve();
		};

		response.on('drain', finish);
		response.on('close', finish);
	});
	checkConnected(response);
}

function checkConnected(response: ServerResponse): void {
	if (response.destroyed) {
		throw createRouterError('streamBroken', 'the caller closed the connection');
	}
}
