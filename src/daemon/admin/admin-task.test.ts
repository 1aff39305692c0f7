import test from 'ava';
import {request} from 'undici';
import {builtInVersion} from '../../policy/built-in.ts';
import {Metrics} from '../../reporting/metrics.ts';
import {AdminTask} from './admin-task.ts';

const adminKey = 'admin-key-0123456789';
const listenerOptions = {
	listenerName: 'admin',
	address: '127.0.0.1',
	port: 0,
	headerTimeoutMs: 5000,
	requestTimeoutMs: 5000,
	maxHeaderBytes: 16_384,
	maxConnections: 10,
	keepAliveMs: 1000,
};

type Fixture = {readonly url: string; readonly drains: () => number; readonly metrics: Metrics};

async function runWithAdmin(check: (fixture: Fixture) => Promise<void>): Promise<void> {
	let drainCount = 0;
	const metrics = Metrics.create({server: 's-1'});
	const admin = AdminTask.create({
		adminKey,
		metrics,
		port: {
			identity: {
				server: 's-1',
				service: 'commandes',
				dataCentre: 'est-a',
				region: 'qc-est',
				address: '127.0.0.1',
				instanceId: 'i-1',
				startedAtMs: 1000,
			},
			readPolicy: () => builtInVersion,
			readMembers: () => [],
			readReport: () => ({
				server: 's-1',
				instanceId: 'i-1',
				admissionLevel: 0,
				slotsInUse: 0,
				slotLimit: 10,
				queued: 0,
				state: 'serving',
			}),
			isReady: () => true,
			drain() {
				drainCount++;
			},
		},
	});
	await admin.open(listenerOptions);
	try {
		await check({url: `http://127.0.0.1:${admin.port}`, drains: () => drainCount, metrics});
	} finally {
		admin.close();
	}
}

async function send(url: string, method: 'GET' | 'POST', key?: string) {
	const {statusCode, body} = await request(url, {
		method,
		headers: key === undefined ? {} : {'primrosevalve-admin-key': key},
	});
	return {statusCode, text: await body.text()};
}

test('without the key nothing is told and nothing changes', async t => {
	await runWithAdmin(async ({url, drains}) => {
		for (const key of [undefined, '', 'admin-key-0123456780', `${adminKey}x`]) {
			for (const path of ['/admin/status', '/admin/members', '/admin/counters', '/admin/none']) {
				const {statusCode, text} = await send(`${url}${path}`, 'GET', key);
				t.is(statusCode, 401, `GET ${path}`);
				t.notRegex(text, /s-1|commandes|digest/v);
			}

			for (const path of ['/admin/drain', '/admin//drain', '/Admin/drain', '/admin/drain/']) {
				const {statusCode} = await send(`${url}${path}`, 'POST', key);
				t.true(statusCode === 401 || statusCode === 404, `POST ${path}`);
			}
		}

		t.is(drains(), 0);
		const {statusCode} = await send(`${url}/admin/drain`, 'POST', adminKey);
		t.is(statusCode, 200);
		t.is(drains(), 1);
	});
});

test('counters are summed over outcomes for each service and caller', async t => {
	await runWithAdmin(async ({url, metrics}) => {
		const call = {service: 'commandes', caller: 'retailer', latencyMs: 5};
		metrics.countCall({...call, outcome: 'answered', good: true});
		metrics.countCall({...call, outcome: 'answered', good: false});
		metrics.countCall({...call, outcome: 'notRun', good: false});
		const {text} = await send(`${url}/admin/counters`, 'GET', adminKey);
		t.deepEqual(JSON.parse(text), [
			{
				server: 's-1',
				instanceId: 'i-1',
				startedAtMs: 1000,
				service: 'commandes',
				caller: 'retailer',
				total: 3,
				good: 1,
			},
		]);
	});
});
