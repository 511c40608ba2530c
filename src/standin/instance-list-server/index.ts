/** Stand-in of the platform's instance list, which shows changes after a delay. */

import {createServer, type Server} from 'node:http';
import {readJsonBody} from '../../http/read-body/index.js';
import {sendJson} from '../../http/send-json/index.js';
import type {ListedInstance} from '../../store/instance-list/index.js';

const bodyLimitBytes = 1_000_000;

/** Creates the server: `GET /instances` shows the list as it was `lagMs` ago, `PUT /instances` replaces it. */
export function createInstanceListServer(lagMs: number): Server {
	let visibleInstances: readonly ListedInstance[] = [];
	return createServer((message, response) => {
		if (message.method !== 'PUT') {
			sendJson(response, 200, {items: visibleInstances});
			return;
		}

		void readJsonBody(message, bodyLimitBytes).then(body => {
			setTimeout(() => {
				visibleInstances = (body as {items: readonly ListedInstance[]}).items;
			}, lagMs).unref();
			sendJson(response, 200, {});
		}, (error: unknown) => {
			sendJson(response, 400, {message: (error as Error).message});
		});
	});
}
