/** Tells comments of event streams, which keep a connection in use, from what a caller waits for. */

const commentLinesPattern = /^(?::[^\n]*\n|\r?\n)+$/u;

/** Whether a chunk of a body holds nothing but whole comment lines and blank lines. */
export function isComment(chunk: Buffer): boolean {
	return commentLinesPattern.test(chunk.toString('latin1'));
}
