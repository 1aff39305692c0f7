/** Late reports, and servers that restart, leave or stop sending reports. */
import test from 'ava';
import {applyConfirmed, testAnswer, testExpectation, testReport as first} from './fixtures.ts';
import {LocalServer} from './local-server.ts';

function createServer(): LocalServer {
	const server = LocalServer.create(2500, testExpectation);
	applyConfirmed(server, first, 0);
	return server;
}

test('an outdated report is ignored', t => {
	const server = createServer();
	server.setUnreachable();
	const late = {kind: 'report', report: {...first, sequence: 4}} as const;
	t.is(server.apply(late, 10).kind, 'outdated');
	t.is(server.readState(10), 'down');
});

test('a report of a server that used the address before is ignored', t => {
	const server = createServer();
	const late = {kind: 'report', report: {...first, id: 'i-0', startedAtMs: 900}} as const;
	t.is(server.apply(late, 10).kind, 'unconfirmed');
	t.is(server.settle(late, {kind: 'healthy', serverId: 'i-1'}, 20).kind, 'refused');
	t.is(server.settle(late, {kind: 'silent'}, 20).kind, 'refused');
	t.is(server.readState(20), 'ready');
	t.is(server.state?.id, 'i-1');
});

// DRAIN: an odd report with a sequence far ahead made that of the true server's leave an outdated one.
test('a report that the server leaves counts, however late it is', t => {
	const server = createServer();
	server.apply({kind: 'report', report: {...first, sequence: 4, isLeaving: true}}, 10);
	t.is(server.readState(10), 'leaving');
});

test('a restart under the same id clears the leaving state', t => {
	const server = createServer();
	server.apply({kind: 'report', report: {...first, sequence: 6, isLeaving: true}}, 10);
	t.is(server.readState(20), 'leaving');
	applyConfirmed(server, {...first, sequence: 1, startedAtMs: 2000}, 30);
	t.is(server.readState(40), 'ready');
});

test('a leaving server takes requests for half of the drain time, even if it reports again', t => {
	const server = createServer();
	server.apply({kind: 'leave', id: 'i-1', startedAtMs: undefined}, 100);
	server.apply({kind: 'report', report: {...first, sequence: 9}}, 200);
	t.true(server.canAcceptRequests(1300));
	t.false(server.canAcceptRequests(1400));
});

test('a leave message of an earlier start or of another server is ignored', t => {
	const server = createServer();
	const earlier = {kind: 'leave', id: 'i-1', startedAtMs: 500} as const;
	t.is(server.apply(earlier, 100).kind, 'unconfirmed');
	t.is(server.settle(earlier, {kind: 'healthy', serverId: 'i-1'}, 100).kind, 'refused');
	t.is(server.apply({kind: 'leave', id: 'i-9', startedAtMs: undefined}, 100).kind, 'outdated');
	t.is(server.readState(100), 'ready');
});

test('a server without recent messages, or whose address does not respond, is down', t => {
	const server = createServer();
	t.is(server.readState(6100), 'down');
	server.apply({kind: 'report', report: {...first, sequence: 6}}, 6200);
	t.is(server.readState(6300), 'ready');
	server.setUnreachable();
	t.is(server.readState(6400), 'down');
});

test('the limit leaves some slots free', t => {
	t.is(createServer().limit, 94);
});

test('a late report does not bring back a server that left before the sidecar was restarted', t => {
	const server = LocalServer.create(2500, testExpectation);
	server.restoreLeave({id: 'i-1', startedAtMs: 1000}, 0);
	applyConfirmed(server, first, 10);
	t.is(server.readState(20), 'leaving');
	applyConfirmed(server, {...first, startedAtMs: 2000}, 30);
	t.is(server.readState(40), 'ready');
});

test('a leave that is read from the store after the first report counts as well', t => {
	const server = createServer();
	server.restoreLeave({id: 'i-1', startedAtMs: 1000}, 10);
	t.is(server.readState(20), 'leaving');
});

test('a server whose reports are late is not down while it answers', t => {
	const server = createServer();
	server.recordAnswer('i-1', 5000);
	t.is(server.readState(9000), 'ready');
	t.is(server.readState(11_001), 'down');
});

// DRAIN: a server that left unheard got requests for as long as its reports said that it was ready.
test('a server that says in an answer that it leaves is leaving, whatever it reports', t => {
	const server = LocalServer.create(2500, testExpectation, () => 0);
	server.restore({id: 'i-1', service: 'shop', slots: 4, startedAtMs: 0}, 0);
	const leaving = {...testAnswer, isLeaving: true};
	server.recordAnswerHead(leaving, {serverId: 'i-0', sentAtMs: 0}, 900);
	t.is(server.readState(900), 'ready');
	server.recordAnswerHead(leaving, {serverId: 'i-1', sentAtMs: 0}, 1000);
	t.is(server.readState(1000), 'leaving');
	const report = {...first, slots: 4, sequence: 1, startedAtMs: 7};
	applyConfirmed(server, report, 1100);
	t.true(server.canAcceptRequests(2200));
	t.false(server.canAcceptRequests(2300));
	applyConfirmed(server, {...report, startedAtMs: 8}, 2400);
	t.is(server.readState(2400), 'ready');
});
