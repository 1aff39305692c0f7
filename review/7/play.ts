/**
 * A sidecar is killed. Its server is told to leave meanwhile, and deregisters as soon as the sidecar is back, which
 * acknowledges it. A heartbeat of before arrives some seconds late.
 */
import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import {sendRequest, sendSteadily} from '../support-2/client.ts';
import {type Deployment, hostName, playCase, type Verdict} from '../support-2/deployment.ts';
import {AppServer} from '../support-2/server.ts';
import {bounds, waitFor} from '../support-2/sidecar.ts';

const capacity = 26;
const workMs = 250;
/** Requests a second at each of the two machines that are not disturbed, for so long. */
const perSecond = 30;
const trafficS = 23;
const downMs = 1000;
/** The server is told to leave so long after the kill. */
const leaveAfterMs = 500;
/** Pause before the server repeats a leave that was not acknowledged. */
const leavePauseMs = 200;
/** How late the delayed heartbeat arrives. */
const lateMs = 5900;
/** How long the server goes on after its leave was acknowledged. */
const stayMs = 12_000;

async function play(deployment: Deployment): Promise<Verdict> {
	const {record} = deployment;
	deployment.writeConfig(
		1,
		['front', 'orders'],
		[{name: 'orders', type: 'non_idempotent', service: 'orders', timeoutS: 2}],
	);
	const a = await deployment.createSidecar('a', 'front');
	const b = await deployment.createSidecar('b', 'orders');
	const c = await deployment.createSidecar('c', 'orders');
	await Promise.all([a.start(), b.start(), c.start()]);
	const run = async () => {
		await wait(workMs);
		return Buffer.from('done');
	};

	const front = AppServer.create({
		id: 'i-front',
		service: 'front',
		capacity,
		sidecar: a,
		record,
		run,
	});
	const leaving = AppServer.create({
		id: 'i-leaving',
		service: 'orders',
		capacity,
		sidecar: b,
		record,
		run,
	});
	const other = AppServer.create({
		id: 'i-other',
		service: 'orders',
		capacity,
		sidecar: c,
		record,
		run,
	});
	const servers = [front, leaving, other];
	await Promise.all(servers.map(async server => server.start()));
	deployment.onStop(() => {
		for (const server of servers) {
			server.stop();
		}
	});
	await Promise.all([a, b, c].map(async sidecar => sidecar.waitUntilReady()));
	const order = {
		port: a.ports.caller,
		hostName,
		path: '/orders/',
		method: 'POST',
		body: Buffer.from('two headboards'),
		deadlineMs: 5000,
	};
	await waitFor(async () => {
		await sendRequest(record, order);
		return leaving.runs.length > 0 && other.runs.length > 0;
	});

	const plan = {count: perSecond * trafficS, perSecond};
	const requests = Promise.all([
		sendSteadily(record, order, plan),
		sendSteadily(record, {...order, port: c.ports.caller}, plan),
	]);
	await wait(3000);
	const late = leaving.createHeartbeat('ready');
	record.add('server i-leaving: sent a heartbeat that is delayed');
	setTimeout(() => {
		record.add('server i-leaving: the delayed heartbeat arrives');
		void leaving.post('heartbeat', late);
	}, lateMs);
	if (deployment.hasTrouble) {
		await b.kill();
		setTimeout(() => {
			void b.start();
		}, downMs);
	}

	await wait(leaveAfterMs);
	record.add('server i-leaving: is told to leave');
	while (!(await leaving.sendLeave())) {
		await wait(leavePauseMs);
	}

	const acknowledgedAtMs = record.readMs();
	record.print(
		`the leave of i-leaving was acknowledged at ${(acknowledgedAtMs / 1000).toFixed(3)} s`,
	);
	await wait(stayMs);
	leaving.stop();
	record.add('server i-leaving: ends');
	const answerLists = await requests;
	const answers = answerLists.flat();
	const boundMs = acknowledgedAtMs + bounds.drainS * 1000;
	const lateRuns = leaving.runs.filter(({atMs}) => atMs > boundMs);
	const failed = answers.filter(({isServed, sentAtMs}) => !isServed && sentAtMs > boundMs);
	record.print(
		`${lateRuns.length} requests reached i-leaving later than drain_s after that, ${failed.length} failed`,
	);
	return lateRuns.length > 0 ? 'broken' : 'held';
}

void playCase('review/7/record.txt', play);
