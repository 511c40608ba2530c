/** Reads the body of a response as text, up to a limit. A faulty server may send bytes without end. */

import VError from 'verror';
import {ByteCollector} from '../../streams/byte-collector/index.js';

/** Limit for answers of the object API and of other services of the operators, in bytes. */
export const maximumAnswerBytes = 32 * 1024 * 1024;

/** Reads `body` to its end. Beyond `maximumBytes`, it closes the connection and rejects with a `VError`. */
export async function readText(body: AsyncIterable<Buffer>, maximumBytes: number): Promise<string> {
	const collector = new ByteCollector();
	// Leaving the loop destroys the body, and with it its connection.
	for await (const chunk of body) {
		if (collector.sizeBytes + chunk.length > maximumBytes) {
			throw new VError('the answer is larger than %d bytes', maximumBytes);
		}

		collector.add(chunk);
	}

	return collector.take().toString('utf8');
}
