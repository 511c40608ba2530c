/** Stand-in of the platform's store: objects by kind and name, lists, and watches by long polling. */

import {createServer} from 'node:http';

const pageSize = 50;
/** Time that the store takes for an answer, in milliseconds. */
const answerMs = 4;

/** Starts a store at `host`. */
export async function startStore(host) {
	const kinds = new Map();
	const history = [];
	const waiting = new Set();
	let revision = 10;

	const openKind = kind => {
		if (!kinds.has(kind)) {
			kinds.set(kind, new Map());
		}

		return kinds.get(kind);
	};

	const announce = change => {
		history.push(change);
		for (const wake of waiting) {
			wake();
		}
	};

	const put = (kind, name, fields) => {
		const existing = openKind(kind).get(name);
		revision += 1;
		const object = {
			spec: null, status: null, ...existing, ...fields,
			metadata: {
				name, rev: revision, 'create-revision': existing?.metadata['create-revision'] ?? revision, finalizers: [], deleting: false,
			},
		};
		openKind(kind).set(name, object);
		announce({
			kind, rev: revision, object, deleted: false,
		});
		return object;
	};

	const remove = (kind, name) => {
		const object = openKind(kind).get(name);
		if (object !== undefined) {
			openKind(kind).delete(name);
			revision += 1;
			announce({
				kind, rev: revision, object, deleted: true,
			});
		}
	};

	const send = (response, status, body) => {
		setTimeout(() => {
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(body === undefined ? '' : JSON.stringify(body));
		}, answerMs);
	};

	const sendList = (kind, after, response) => {
		const names = [...openKind(kind).keys()].toSorted().filter(name => name > after);
		const items = names.slice(0, pageSize).map(name => openKind(kind).get(name));
		send(response, 200, {items, 'has-more': names.length > pageSize, 'as-of': revision});
	};

	const sendChanges = (kind, from, waitMs, response) => {
		const select = () => history.filter(change => change.kind === kind && change.rev > from);
		const answer = () => {
			waiting.delete(wake);
			clearTimeout(timer);
			const events = select().map(({object, deleted}) => ({object, deleted}));
			send(response, 200, {events, 'as-of': revision});
		};

		const wake = () => {
			if (select().length > 0) {
				answer();
			}
		};

		const timer = setTimeout(answer, waitMs);
		response.once('close', () => {
			waiting.delete(wake);
			clearTimeout(timer);
		});
		waiting.add(wake);
		wake();
	};

	const write = ({method, url, body}, response) => {
		const [kind, nameInPath, part] = splitPath(url);
		const name = nameInPath ?? body.metadata.name;
		const existing = openKind(kind).get(name);
		const expected = body?.metadata?.rev ?? (url.searchParams.has('rev') ? Number(url.searchParams.get('rev')) : undefined);
		if (method === 'POST' && existing !== undefined) {
			send(response, 409, existing);
		} else if (method !== 'POST' && existing === undefined) {
			send(response, 404);
		} else if (method !== 'POST' && expected !== undefined && expected !== existing.metadata.rev) {
			send(response, 409, existing);
		} else if (method === 'DELETE') {
			remove(kind, name);
			send(response, 200, existing);
		} else {
			send(response, 200, put(kind, name, part === 'status' ? {status: body.status} : {spec: body.spec}));
		}
	};

	const server = createServer((message, response) => {
		const chunks = [];
		message.on('data', chunk => {
			chunks.push(chunk);
		});
		message.on('end', () => {
			const url = new URL(message.url, 'http://store');
			const [kind, name] = splitPath(url);
			if (message.method !== 'GET') {
				const text = Buffer.concat(chunks).toString();
				write({method: message.method, url, body: text === '' ? undefined : JSON.parse(text)}, response);
			} else if (name !== undefined) {
				const object = openKind(kind).get(name);
				send(response, object === undefined ? 404 : 200, object);
			} else if (url.searchParams.has('watch')) {
				sendChanges(kind, Number(url.searchParams.get('watch')), Number(url.searchParams.get('wait-ms')), response);
			} else {
				sendList(kind, url.searchParams.get('after') ?? '', response);
			}
		});
	});
	server.keepAliveTimeout = 60_000;
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		/** Writes an object, as the operator and the workers do. */
		put: (kind, name, spec) => put(kind, name, {spec}),
		remove,
		read: (kind, name) => openKind(kind).get(name)?.spec,
		close() {
			server.closeAllConnections();
			server.close();
		},
	};
}

function splitPath(url) {
	return url.pathname.replace('/-/objects/', '').split('/').map(part => decodeURIComponent(part));
}
