/** Guards against unbounded metric series: callers may request any number of paths without a route. */
import test from 'ava';
import {Logger} from '../../reporting/logger.ts';
import {Scheduler} from '../scheduling/scheduler.ts';
import {RequestLog, type RequestRecord} from './request-log.ts';

const record: RequestRecord = {
	requestId: 'r1',
	route: 'r-orders',
	path: '',
	service: 'orders',
	callerService: 'shop',
	status: 200,
	outcome: 'relayed',
	tookMs: 12,
	sends: 1,
	arrivals: 1,
	lastReason: '',
	lastInstance: 'one',
	serverId: 'i-1',
	configVersion: 1,
	deadlineMs: 1000,
	digest: '',
	reportAgeMs: -1,
};

test('requests without a route share one counter', t => {
	const log = RequestLog.create(Logger.create('test', 'error'), Scheduler.create());
	for (let index = 0; index < 1000; index++) {
		log.recordRequest({...record, route: '', path: `/none/${index}`, status: 404});
	}

	log.recordRequest(record);
	t.deepEqual(
		[...log.counts.values()].map(({route, status, count}) => [route, status, count]),
		[
			['', 404, 1000],
			['r-orders', 200, 1],
		],
	);
});
