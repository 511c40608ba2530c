/** A caller of plain services, for tests. */

import {request, type Dispatcher} from 'undici';

/** One call of a service. */
export type ServiceQuery = {
	readonly address: string;
	readonly secret?: string;
	readonly method: string;
	readonly path: string;
	/** Name under which the stand-in service counts the runs of this call. */
	readonly callId: string;
	readonly body?: string | Buffer;
	readonly headers?: Readonly<Record<string, string>>;
};

/** What the caller saw; `status` 0 stands for a connection that broke before the answer was whole. */
export type ServiceOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly text: string;
	readonly error?: {readonly type: string; readonly message: string; readonly not_run?: true};
};

/** Sends one call and reads its answer. */
export async function callService(query: ServiceQuery): Promise<ServiceOutcome> {
	try {
		const answer = await request(`http://${query.address}${query.path}`, {
			method: query.method,
			headers: {'x-call-id': query.callId, ...(query.secret !== undefined && {authorization: `Bearer ${query.secret}`}), ...query.headers},
			body: query.body,
		});
		const text = await answer.body.text();
		const error = 'x-result-code' in answer.headers && text !== '' ? (JSON.parse(text) as {error: ServiceOutcome['error']}).error : undefined;
		return {
			status: answer.statusCode, headers: answer.headers, text, error,
		};
	} catch (error) {
		return {status: 0, headers: {}, text: String(error)};
	}
}
