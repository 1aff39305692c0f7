/** BUDGET: a request that came again had nothing by which it could be recognised. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {computeDigest, type DigestedRequest, isDigest} from './request-digest.ts';

const request: DigestedRequest = {
	method: 'POST',
	host: 'shop.example',
	path: '/orders/1?full=1',
	callerService: 'shop',
	body: Buffer.from('one'),
	isWhole: true,
};

test('a request that comes again has the same digest', t => {
	t.is(computeDigest({...request, host: 'Shop.Example'}), computeDigest(request));
	t.true(isDigest(computeDigest(request)));
	t.false(isDigest('0123456789ABCDEF'));
});

test('another method, path, query, caller or body gives another digest', t => {
	const others: DigestedRequest[] = [
		{...request, method: 'PUT'},
		{...request, host: 'other.example'},
		{...request, path: '/orders/1?full=2'},
		{...request, callerService: 'other'},
		{...request, body: Buffer.from('two')},
		{...request, body: Buffer.alloc(0)},
	];
	const digests = new Set([request, ...others].map(each => computeDigest(each)));
	t.is(digests.size, others.length + 1);
});

test('of a long body, however it arrives, the same part counts', t => {
	const long = Buffer.alloc(300 * 1024, 'a');
	const first = computeDigest({...request, body: long.subarray(0, 270 * 1024), isWhole: false});
	t.is(computeDigest({...request, body: long, isWhole: false}), first);
	t.not(computeDigest({...request, body: Buffer.alloc(300 * 1024, 'b'), isWhole: false}), first);
});
