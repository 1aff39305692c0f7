/** Requests for unknown paths must not create a route name of their own in the log. */
import {Buffer} from 'node:buffer';
import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import test from 'ava';
import {createRequestRecord} from './request-record.ts';

test('a request without a route is recorded with its path and an empty route', t => {
	const request = new IncomingMessage(new Socket());
	request.url = '/none/1?page=6';
	const record = createRequestRecord({
		caller: {
			request,
			response: new ServerResponse(request),
			head: {requestId: 'r1', deadlineMs: undefined, headers: []},
			body: Buffer.alloc(0),
			isWhole: true,
		},
		route: undefined,
		service: '',
		history: undefined,
		status: 404,
		outcome: 'version 1 has no such route',
		tookMs: 1,
		reportAgeMs: -1,
		ctx: {readRoutes: () => undefined, readCallerService: () => 'shop'},
	});
	t.is(record.route, '');
	t.is(record.path, '/none/1?page=6');
	t.is(record.callerService, 'shop');
});
