/** Stand-in of a model worker: registers in the store, runs streams, takes orders for new weights, and can crash. */

import {createServer} from 'node:http';
import process from 'node:process';

const beatMs = 1200;
/** Beats of silence after which the store drops an entry. */
const beatsUntilLapse = 3;
/** Time in which a worker changes its weights, in milliseconds. */
const loadMs = 760;
const firstEventMs = 150;
/** Default pause between two events, in milliseconds. */
const eventMs = 10;

let startedCount = 0;

/** One worker. `host` is its loopback address; a restart gives it a new id at the same address. */
export class Engine {
	constructor({store, host, service, model, zone, software = 'v1'}) {
		Object.assign(this, {
			store, host, service, model, zone, software, port: 0, version: 1, orders: [], arrivals: [], begun: [], crashes: [], isClosed: false,
		});
	}

	/** Starts under a new id, or under `id`. */
	async start(id) {
		startedCount += 1;
		this.id = id ?? `i-${String(startedCount).padStart(6, '0')}`;
		this.born = Date.now();
		this.sequence = 0;
		this.beats = 0;
		this.isBusy = false;
		this.sockets = new Set();
		this.server = createServer((message, response) => {
			this.receive(message, response);
		});
		this.server.on('connection', socket => {
			this.sockets.add(socket);
			socket.once('close', () => {
				this.sockets.delete(socket);
			});
		});
		await new Promise(resolve => {
			this.server.listen(this.port, this.host, resolve);
		});
		this.port = this.server.address().port;
		this.announce();
		this.timer = setInterval(() => {
			this.announce();
		}, beatMs);
	}

	announce() {
		this.beats += 1;
		this.store.put('servers', this.id, {
			service: this.service, address: `${this.host}:${this.port}`, zone: this.zone, version: this.software, slots: 64, state: 'ready',
			'cold-remaining-ms': 0, sequence: this.beats, born: this.born, stage: 'colocated',
			models: [{name: this.model, version: this.version, adapters: []}],
		});
	}

	/** Ends as a crashed process does, and comes back after `downMs`. */
	crash(downMs) {
		const {id} = this;
		this.crashes.push({id, at: Date.now()});
		this.stop();
		setTimeout(() => {
			this.store.remove('servers', id);
		}, beatMs * beatsUntilLapse).unref();
		setTimeout(() => {
			if (!this.isClosed) {
				this.start().catch(error => {
					process.stderr.write(`worker not started: ${error.message}\n`);
				});
			}
		}, downMs).unref();
	}

	/** Ends, and starts again after `downMs` under the same id and address, with other software. */
	restart(software, downMs) {
		this.stop();
		setTimeout(() => {
			this.software = software;
			if (!this.isClosed) {
				this.start(this.id).catch(error => {
					process.stderr.write(`worker not started: ${error.message}\n`);
				});
			}
		}, downMs).unref();
	}

	/** Removes its entry and goes on to serve. */
	leaveSilently() {
		clearInterval(this.timer);
		this.store.remove('servers', this.id);
	}

	close() {
		this.isClosed = true;
		this.stop();
	}

	stop() {
		clearInterval(this.timer);
		this.server.close();
		for (const socket of this.sockets) {
			socket.resetAndDestroy();
		}
	}

	receive(message, response) {
		const chunks = [];
		message.on('data', chunk => {
			chunks.push(chunk);
		});
		message.on('end', () => {
			const expected = message.headers['x-laburnumturn-expect-instance'];
			if (expected !== undefined && expected !== this.id) {
				response.writeHead(421, {'x-laburnumturn-instance-id': this.id}).end();
			} else if (message.url === '/-/report') {
				this.sendReport(response);
			} else if (message.url === '/-/order') {
				this.takeOrder(JSON.parse(Buffer.concat(chunks).toString()), response);
			} else {
				this.runStream(message, response);
			}
		});
	}

	sendReport(response) {
		response.setHeader('content-type', 'application/json');
		response.end(JSON.stringify({
			stage: 'colocated', models: [{name: this.model, version: this.version, adapters: []}], busy: this.isBusy, sequence: this.sequence,
			waiting: 0, running: 0, 'kv-used': 0, 'kv-total': 100_640, handles: 0,
		}));
	}

	takeOrder({holder, fence, version, precondition}, response) {
		const status = this.answerOrder(version, precondition);
		this.orders.push({
			at: Date.now(), holder, fence, version, status,
		});
		response.writeHead(status).end();
	}

	answerOrder(version, precondition) {
		if (this.isBusy || (precondition !== undefined && precondition !== this.sequence)) {
			return 409;
		}

		if (version <= this.version) {
			return 200;
		}

		this.sequence += 1;
		this.isBusy = true;
		setTimeout(() => {
			this.isBusy = false;
			this.version = version;
			this.announce();
		}, loadMs);
		return 202;
	}

	runStream(message, response) {
		const id = message.headers['x-laburnumturn-request-id'];
		const expectedVersion = message.headers['x-laburnumturn-expect-version'];
		if (this.isBusy) {
			response.writeHead(503, {'x-laburnumturn-not-executed': '1', 'x-laburnumturn-request-id': id}).end();
			return;
		}

		if (expectedVersion !== undefined && Number(expectedVersion) !== this.version) {
			response.writeHead(421, {'x-laburnumturn-instance-id': this.id, 'x-laburnumturn-request-id': id}).end();
			return;
		}

		const parts = (message.headers['x-laburnumturn-prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0]);
		this.arrivals.push({
			id, at: Date.now(), parts, engine: this.id,
		});
		this.answerSoon(message, response, {id, parts});
	}

	answerSoon(message, response, {id, parts}) {
		const sharedParts = new Set(parts.slice(0, -1));
		const count = Number(message.headers['x-laburnumturn-token-count']?.split(',')[1] ?? 9);
		setTimeout(() => {
			if (response.destroyed) {
				return;
			}

			this.begun.push({id, at: Date.now(), version: this.version});
			response.writeHead(200, {
				'content-type': 'text/event-stream', 'x-laburnumturn-request-id': id, 'x-laburnumturn-server-seal': `seal.${this.id}.${id}`,
				'x-laburnumturn-weight-versions': this.version,
			});
			if (this.poison !== undefined && sharedParts.has(this.poison)) {
				response.write('id: 1\ndata', () => {
					this.crash(this.downMs);
				});
				return;
			}

			this.writeEvents(response, count);
		}, firstEventMs);
	}

	writeEvents(response, count) {
		let event = Number(response.req.headers['last-event-id'] ?? 0);
		const timer = setInterval(() => {
			event += 1;
			if (event > count) {
				clearInterval(timer);
				response.end();
			} else {
				response.write(`id: ${event}\ndata: ${this.software} ${event}\n\n`);
			}
		}, this.eventMs ?? eventMs);
		response.once('close', () => {
			clearInterval(timer);
		});
	}
}
