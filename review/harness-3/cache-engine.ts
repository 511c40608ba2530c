/** Stand-in of a model worker that keeps the parts of prompts, by the text under which the router has them kept. */

import {createServer} from 'node:http';
import {listenLocally} from '../../src/http/listen-locally/index.js';
import type {Target} from './targets.js';

/** Use of a kept part by a request of another tenant than the one whose request made it. */
export type ForeignUse = {readonly id: string; readonly part: string; readonly maker: string; readonly user: string};

/** What is told of a request that runs. */
export type CacheEngineOptions = {
	/** Weights version that the engine serves. */
	readonly version: number;
	readonly onRun: (description: string) => void;
	readonly onForeignUse: (use: ForeignUse) => void;
};

const successStatus = 200;

/** Starts the engine. As pages say, an absent text counts as one text shared by all, and a part counts only if all before it are kept too. */
export async function startCacheEngine({version, onRun, onForeignUse}: CacheEngineOptions): Promise<Target> {
	/** Tenant whose request made a part, by text and part. */
	const makers = new Map<string, string>();
	const server = createServer((message, response) => {
		message.resume();
		message.once('end', () => {
			const read = (name: string) => String(message.headers[name] ?? '');
			const id = read('x-laburnumturn-request-id');
			const user = read('x-laburnumturn-tenant');
			const scope = read('x-laburnumturn-cache-salt');
			const parts = read('x-laburnumturn-prompt-prefix').split(',').map(part => part.split(':')[0]!);
			onRun(`run ${id} tenant=${user} salt=${scope} parts=${parts.join(',')}`);
			let isKept = true;
			for (const part of parts) {
				const key = `${scope}\n${part}`;
				const maker = makers.get(key);
				isKept &&= maker !== undefined;
				if (isKept && maker !== undefined && maker !== user) {
					onForeignUse({
						id, part, maker, user,
					});
				} else if (!isKept) {
					makers.set(key, user);
				}
			}

			response.writeHead(successStatus, {
				'X-Laburnumturn-Request-Id': id, 'X-Laburnumturn-Server-Seal': `seal-${id}`, 'X-Laburnumturn-Weight-Versions': String(version),
				'Content-Type': 'text/event-stream',
			});
			response.end('id: 1\ndata: a\n\n');
		});
	});
	const address = await listenLocally(server);
	return {
		address,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}
