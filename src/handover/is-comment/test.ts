import {test} from 'node:test';
import {expect} from 'earl';
import {isComment} from './index.js';

test('guards against taking a comment for the beginning of an answer, and the beginning of an answer for a comment', () => {
	const comments = [': ping\n\n', ':\r\n\r\n', '\n', ': a\n: b\n\n'];
	const contents = ['id: 1\n', ': ping\n\nid: 1\n', ': pi', '{"a":1}', ''];
	expect(comments.filter(text => !isComment(Buffer.from(text)))).toEqual([]);
	expect(contents.filter(text => isComment(Buffer.from(text)))).toEqual([]);
});
