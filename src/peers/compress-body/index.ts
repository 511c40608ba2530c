/** Compresses large bodies between instances. Links between instances can be thin, and configurations repeat themselves. */

import {promisify} from 'node:util';
import {
	constants, gunzip, gzip, gzipSync,
} from 'node:zlib';

/** Size from which compression saves more time on a link than it costs, in bytes. */
const minimumCompressedBytes = 16 * 1024;
const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Name of the compression in headers. */
export const bodyEncoding = 'gzip';

/** A body as it is sent; `encoding` is the value of its header, if it needs one. */
export type EncodedBody = {readonly bytes: Buffer; readonly encoding?: string};

/** Compresses `text` if it is large and the receiver accepts that. */
export async function compressBody(text: string, acceptedEncoding: string | undefined): Promise<EncodedBody> {
	const bytes = Buffer.from(text);
	return bytes.length < minimumCompressedBytes || acceptedEncoding !== bodyEncoding
		? {bytes}
		: {bytes: await compress(bytes, {level: constants.Z_BEST_SPEED}), encoding: bodyEncoding};
}

/** Returns the text of a received body. Rejects if the body is incomplete, or longer than `maximumBytes`. */
export async function decompressBody({bytes, encoding}: EncodedBody, maximumBytes: number): Promise<string> {
	const decoded = encoding === bodyEncoding ? await decompress(bytes, {maxOutputLength: maximumBytes}) : bytes;
	return decoded.toString('utf8');
}

/** Measures the size of `text` as `compressBody` sends it, in bytes. Blocks the event loop; for simulations. */
export function measureCompressedBytes(text: string): number {
	return text.length < minimumCompressedBytes ? text.length : gzipSync(text, {level: constants.Z_BEST_SPEED}).length;
}
