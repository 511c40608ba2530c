/** Tells how the body of a response is delimited. */

const noContentStatus = 204;
const notModifiedStatus = 304;

/** Whether only the end of the connection delimits the body of a response; `hasHeader` takes names in lower case. */
export function isUnframed(method: string, status: number, hasHeader: (name: string) => boolean): boolean {
	const hasNoBody = method === 'HEAD' || status === noContentStatus || status === notModifiedStatus;
	return !hasNoBody && !hasHeader('content-length') && !hasHeader('transfer-encoding');
}
