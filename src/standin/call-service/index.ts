/** Calls services through the router, for tests. */

import {request, type Dispatcher} from 'undici';

/** A call of a service. */
export type ServiceQuery = {
	readonly address: string;
	readonly secret?: string;
	readonly method: string;
	readonly path: string;
	/** Id under which the stand-in service counts the runs of this call. */
	readonly callId: string;
	readonly body?: string | Buffer;
	readonly headers?: Readonly<Record<string, string>>;
};

/** The response as the caller sees it; `status` 0 stands for a connection that broke before the response was complete. */
export type ServiceOutcome = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string | string[] | undefined>>;
	readonly text: string;
	readonly error?: {readonly type: string; readonly message: string; readonly not_run?: true};
};

/** Sends a call and reads its response. */
export async function callService(query: ServiceQuery): Promise<ServiceOutcome> {
	try {
		const response = await request(`http://${query.address}${query.path}`, {
			method: query.method,
			headers: {'x-call-id': query.callId, ...(query.secret !== undefined && {authorization: `Bearer ${query.secret}`}), ...query.headers},
			body: query.body,
		});
		const text = await response.body.text();
		const error = 'x-result-code' in response.headers && text !== '' ? (JSON.parse(text) as {error: ServiceOutcome['error']}).error : undefined;
		return {
			status: response.statusCode, headers: response.headers, text, error,
		};
	} catch (error) {
		return {status: 0, headers: {}, text: String(error)};
	}
}
