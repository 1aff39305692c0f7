import test from 'ava';
import {copyEndToEndHeaders} from './request-headers.ts';

test('control headers are stripped', t => {
	t.deepEqual(copyEndToEndHeaders({'primrosevalve-importance': '4', accept: '*/*'}), {
		accept: '*/*',
	});
});

test('hop-by-hop headers are stripped', t => {
	t.deepEqual(copyEndToEndHeaders({connection: 'close', te: 'trailers', 'x-own': ['a', 'b']}), {
		'x-own': ['a', 'b'],
	});
});
