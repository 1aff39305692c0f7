import test from 'ava';
import {convertToEndToEnd} from './request-headers.ts';

test('control headers are stripped', t => {
	t.deepEqual(convertToEndToEnd({'primrosevalve-importance': '4', accept: '*/*'}), {
		accept: '*/*',
	});
});

test('hop-by-hop headers are stripped', t => {
	t.deepEqual(convertToEndToEnd({connection: 'close', te: 'trailers', 'x-own': ['a', 'b']}), {
		'x-own': ['a', 'b'],
	});
});
