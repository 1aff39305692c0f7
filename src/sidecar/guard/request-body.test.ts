/** Parts of a body keep their order, and what is ahead of the server is bounded. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {encodeChunk, RequestBody} from './request-body.ts';

const mebibyte = 1024 * 1024;

test('parts that waited come out in their order, and as one when the body is whole', t => {
	const body = RequestBody.create(Buffer.from('a'), false);
	body.add(Buffer.from('b'), false);
	t.deepEqual(body.removeWaiting().map(String), ['a', 'b']);
	t.is(body.wholeBytes, undefined);
	const ended = RequestBody.create(Buffer.from('a'), false);
	ended.add(Buffer.from('b'), false);
	ended.end();
	t.is(ended.wholeBytes, 2);
	t.deepEqual(ended.removeWaiting().map(String), ['ab']);
});

// UNASKED: a part without bytes is encoded like the end of a body, and the server would run the request without the rest.
test('a part without bytes is not written', t => {
	t.is(Buffer.from(encodeChunk(Buffer.from('abc'))).toString(), '3\r\nabc\r\n');
	t.is(encodeChunk(Buffer.alloc(0)).length, 0);
});

// A guard held uploads to a slow server without a bound.
test('a sender that is too far ahead of the server is rejected', t => {
	const body = RequestBody.create(Buffer.alloc(0), false);
	body.add(Buffer.alloc(mebibyte), true);
	t.throws(
		() => {
			body.add(Buffer.alloc(1), true);
		},
		{instanceOf: RangeError, message: /1048577 bytes .* more than 1048576/v},
	);
	const second = RequestBody.create(Buffer.alloc(0), false);
	second.add(Buffer.alloc(mebibyte), true);
	t.is(second.recordTaken(mebibyte), mebibyte);
	t.notThrows(() => {
		second.add(Buffer.alloc(mebibyte), true);
	});
});
