/** Stand-in of a client: sends one request on a connection of its own. */

import {request} from 'node:http';

let sentCount = 0;

/** Sends a request; resolves to what came back. `sent` is filled in as it goes. */
export async function send({machine, host, path, key, method = 'POST', headers = {}, body, deadlineMs = 4000}) {
	sentCount += 1;
	const id = `r${String(sentCount).padStart(6, '0')}`;
	const sent = {
		id, machine: machine.name, at: Date.now(), status: undefined, text: '', isComplete: false,
	};
	return new Promise(resolve => {
		const finish = () => {
			clearTimeout(timer);
			sent.endedAt = Date.now();
			resolve(sent);
		};

		const call = request({
			host: machine.host, port: 8606, path, method, agent: false,
			headers: {
				host, authorization: `Token ${key}`, 'x-laburnumturn-request-id': id, 'x-laburnumturn-deadline-ms': String(deadlineMs),
				...headers, ...(body !== undefined && {'content-length': Buffer.byteLength(body)}),
			},
		}, response => {
			sent.status = response.statusCode;
			sent.headers = response.headers;
			response.on('data', chunk => {
				sent.text += chunk;
			});
			response.once('end', () => {
				sent.isComplete = response.complete;
			});
			response.once('error', () => {
				sent.error = 'broken off';
			});
			response.once('close', finish);
		});
		const timer = setTimeout(() => {
			sent.error = 'gave up';
			call.destroy();
			finish();
		}, deadlineMs);
		call.once('error', error => {
			sent.error ??= error.code ?? error.message;
			finish();
		});
		call.end(body);
	});
}
