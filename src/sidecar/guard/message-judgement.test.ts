/** UNASKED, DRAIN: what another writer says between the reports of a server changes nothing, and hides nothing. */
import fc from 'fast-check';
import test from 'ava';
import {type ServerMessage, type ServerReport} from '../types.ts';
import {applyConfirmed, testExpectation, testReport} from './fixtures.ts';
import {LocalServer} from './local-server.ts';
import {type ServerWitness} from './local-server-state.ts';

const heartbeatMs = 1500;
/** Times in a heartbeat at which another writer's messages arrive. */
const oddTimes = fc.array(fc.integer({min: 1, max: heartbeatMs - 1}), {maxLength: 6});
const oddCounts = fc.oneof(fc.nat(), fc.constant(Number.MAX_SAFE_INTEGER), fc.constant(0));

/** A report that differs from the true ones in any of its fields, except that it doesn't guess the next leave. */
const oddReports: fc.Arbitrary<ServerReport> = fc.record({
	id: fc.constantFrom('i-1', 'i-0', 'odd'),
	service: fc.constantFrom('shop', 'other', 'unknown'),
	address: fc.constantFrom(testReport.address, {host: '10.9.9.9', port: 1}),
	dataCentre: fc.constantFrom('a', 'b'),
	slots: fc.oneof(fc.constant(testReport.slots), oddCounts),
	isLeaving: fc.boolean(),
	sequence: fc.oneof(oddCounts, fc.constant(testReport.sequence)),
	warmupMs: fc.nat(),
	startedAtMs: fc.oneof(fc.constant(testReport.startedAtMs), oddCounts),
});
const oddMessages: fc.Arbitrary<ServerMessage> = fc.oneof(
	oddReports.map(report => ({kind: 'report', report}) as const),
	fc.record({
		kind: fc.constant('leave' as const),
		id: fc.constantFrom('i-0', 'odd'),
		startedAtMs: fc.option(oddCounts, {nil: undefined}),
	}),
);

/** Whether a message says in the right order that the true server leaves, so that it can't be told from its own. */
function isLeaveInOrder(message: ServerMessage, sequence: number): boolean {
	return (
		message.kind === 'report' &&
		message.report.id === 'i-1' &&
		message.report.isLeaving &&
		message.report.sequence < sequence + 100
	);
}

function sendMessage(
	server: LocalServer,
	{message, witness}: {readonly message: ServerMessage; readonly witness: ServerWitness},
	nowMs: number,
): void {
	if (server.apply(message, nowMs).kind === 'unconfirmed') {
		server.settle(message, witness, nowMs);
	}
}

const witnesses: readonly ServerWitness[] = [{kind: 'healthy', serverId: 'i-1'}, {kind: 'unasked'}];

for (const witness of witnesses) {
	test(`another writer's messages between the reports of a server change nothing (${witness.kind})`, t => {
		const rounds = fc.array(fc.array(fc.tuple(oddMessages, oddTimes), {maxLength: 4}), {
			minLength: 1,
			maxLength: 8,
		});
		fc.assert(
			fc.property(rounds, heartbeats => {
				const server = LocalServer.create(2500, testExpectation, () => 0);
				sendMessage(server, {message: {kind: 'report', report: testReport}, witness}, 0);
				let {sequence} = testReport;
				let nowMs = 0;
				for (const odd of heartbeats) {
					for (const [message, times] of odd) {
						for (const atMs of times.toSorted((a, b) => a - b)) {
							if (!isLeaveInOrder(message, sequence)) {
								sendMessage(server, {message, witness}, nowMs + atMs);
							}
						}

						const {id, service, slots, startedAtMs} = server.state!;
						t.deepEqual(
							{id, service, slots, startedAtMs},
							{id: 'i-1', service: 'shop', slots: 100, startedAtMs: 1000},
						);
						t.is(server.readState(nowMs + heartbeatMs), 'ready');
					}

					nowMs += heartbeatMs;
					sequence++;
					const message = {kind: 'report', report: {...testReport, sequence}} as const;
					sendMessage(server, {message, witness}, nowMs);
				}

				const leave = {...testReport, sequence: sequence + 1, isLeaving: true};
				const judgement = server.apply({kind: 'report', report: leave}, nowMs + heartbeatMs);
				t.is(judgement.kind, 'believed');
				t.is(server.readState(nowMs + heartbeatMs), 'leaving');
			}),
			{seed: 44, numRuns: 2000},
		);
	});
}

// A leave that another writer had named in the right order took a server out of use for good.
test('a server that goes on to report and says that it is healthy returns from a leave', t => {
	const server = LocalServer.create(2500, testExpectation, () => 0);
	applyConfirmed(server, testReport, 0);
	server.apply({kind: 'leave', id: 'i-1', startedAtMs: undefined}, 10);
	for (let index = 1; index <= 4; index++) {
		const report = {...testReport, sequence: testReport.sequence + index};
		applyConfirmed(server, report, index * heartbeatMs);
		t.is(server.readState(index * heartbeatMs), index < 4 ? 'leaving' : 'ready');
	}
});

test('a server that has left and is not healthy does not return', t => {
	const server = LocalServer.create(2500, testExpectation, () => 0);
	applyConfirmed(server, testReport, 0);
	server.apply({kind: 'leave', id: 'i-1', startedAtMs: undefined}, 10);
	for (let index = 1; index <= 20; index++) {
		const report = {...testReport, sequence: testReport.sequence + index};
		const message = {kind: 'report', report} as const;
		const nowMs = index * heartbeatMs;
		if (server.apply(message, nowMs).kind === 'unconfirmed') {
			server.settle(message, {kind: 'unhealthy', serverId: 'i-1'}, nowMs);
		}

		t.not(server.readState(nowMs), 'ready');
	}
});

// A server that had refused a connection took the slots of another writer's report for its own.
test('other slots of the same start are not taken while the server is unreachable, a later start is', t => {
	const server = LocalServer.create(2500, testExpectation, () => 0);
	applyConfirmed(server, testReport, 0);
	server.setUnreachable();
	applyConfirmed(server, {...testReport, slots: 1, sequence: 6}, 100);
	t.is(server.state?.slots, 100);
	t.is(server.readState(100), 'down');
	applyConfirmed(server, {...testReport, slots: 50, sequence: 1, startedAtMs: 2000}, 200);
	t.is(server.state?.slots, 50);
	t.is(server.readState(200), 'ready');
});

test('facts of the first report give way when the server goes on to report others', t => {
	const server = LocalServer.create(2500, testExpectation, () => 0);
	applyConfirmed(server, {...testReport, slots: 1, startedAtMs: 1e12, sequence: 1e6}, 0);
	for (let index = 1; index <= 3; index++) {
		applyConfirmed(server, {...testReport, sequence: index}, index * heartbeatMs);
	}

	t.is(server.state?.slots, 100);
	t.is(server.state?.startedAtMs, 1000);
});

test('facts that an earlier process announced are taken at the first report that names them', t => {
	const server = LocalServer.create(2500, testExpectation, () => 0);
	server.setFormer({id: 'i-1', service: 'shop', slots: 100, startedAtMs: 1000});
	applyConfirmed(server, {...testReport, slots: 1, sequence: 1e6}, 0);
	applyConfirmed(server, testReport, heartbeatMs);
	t.is(server.state?.slots, 100);
});

// A leave that another writer had named while nobody could ask the server kept it out of use after that.
test('a leave that the server could not be asked about ends when it says that it is healthy', t => {
	const server = LocalServer.create(2500, testExpectation, () => 0);
	const leave = {kind: 'report', report: {...testReport, isLeaving: true}} as const;
	sendMessage(server, {message: leave, witness: {kind: 'unasked'}}, 0);
	t.is(server.readState(0), 'leaving');
	const report = {...testReport, sequence: testReport.sequence + 1};
	const message = {kind: 'report', report} as const;
	sendMessage(server, {message, witness: {kind: 'unasked'}}, heartbeatMs);
	t.is(server.readState(heartbeatMs), 'leaving');
	sendMessage(server, {message, witness: {kind: 'unhealthy', serverId: 'i-1'}}, heartbeatMs);
	t.is(server.readState(heartbeatMs), 'leaving');
	sendMessage(server, {message, witness: {kind: 'healthy', serverId: 'i-1'}}, heartbeatMs);
	t.is(server.readState(heartbeatMs), 'ready');
});
