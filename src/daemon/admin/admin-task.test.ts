import test from 'ava';
import {request} from 'undici';
import {
	AdminStandIn,
	standInAdminKey,
	standInIdentity,
} from '../../../stand-ins/daemon/admin-stand-in.ts';

const protectedPaths = [
	'/metrics',
	'/Metrics',
	'/admin/status',
	'/admin/members',
	'/admin/counters',
	'/Admin/status',
	'//admin/status',
	'/admin/./status',
	'/%61dmin/status',
	'/healthz/../admin/status',
	'/admin/none',
];

async function runWithAdmin(check: (standIn: AdminStandIn) => Promise<void>): Promise<void> {
	const standIn = await AdminStandIn.open();
	try {
		await check(standIn);
	} finally {
		standIn.close();
	}
}

async function send(url: string, method: 'GET' | 'POST', key?: string) {
	const {statusCode, body} = await request(url, {
		method,
		headers: key === undefined ? {} : {'primrosevalve-admin-key': key},
	});
	return {statusCode, text: await body.text()};
}

test('requests without the key get no data and start no drain', async t => {
	await runWithAdmin(async standIn => {
		const {url} = standIn;
		for (const key of [undefined, '', 'admin-key-0123456780', `${standInAdminKey}x`]) {
			for (const path of protectedPaths) {
				const {statusCode, text} = await send(`${url}${path}`, 'GET', key);
				t.is(statusCode, 401, `GET ${path}`);
				t.notRegex(text, /commandes|digest/v);
			}

			for (const path of ['/admin/drain', '/admin//drain', '/Admin/drain', '/admin/drain/']) {
				const {statusCode} = await send(`${url}${path}`, 'POST', key);
				t.is(statusCode, 401, `POST ${path}`);
			}
		}

		t.is(standIn.drainCount, 0);
		const {statusCode} = await send(`${url}/admin/drain`, 'POST', standInAdminKey);
		t.is(statusCode, 200);
		t.is(standIn.drainCount, 1);
	});
});

test('counters are summed over outcomes for each service and caller', async t => {
	await runWithAdmin(async ({url, metrics}) => {
		const call = {service: 'commandes', caller: 'retailer', latencyMs: 5};
		metrics.countCall({...call, outcome: 'answered', isGood: true});
		metrics.countCall({...call, outcome: 'answered', isGood: false});
		metrics.countCall({...call, outcome: 'notRun', isGood: false});
		const {text} = await send(`${url}/admin/counters`, 'GET', standInAdminKey);
		t.deepEqual(JSON.parse(text), [
			{
				server: 'commandes-1',
				instanceId: 'i-1',
				startedAtMs: standInIdentity.startedAtMs,
				service: 'commandes',
				caller: 'retailer',
				total: 3,
				good: 1,
			},
		]);
	});
});

test('metrics show current values to a request with the key as a bearer token', async t => {
	await runWithAdmin(async ({url}) => {
		const {body} = await request(`${url}/metrics`, {
			headers: {authorization: `Bearer ${standInAdminKey}`},
		});
		const text = await body.text();
		for (const line of [/policy_version".*\} 0/v, /members".*\} 1/v, /slots_in_use".*\} 4/v]) {
			t.regex(text, line);
		}
	});
});

test('health and readiness need no key', async t => {
	await runWithAdmin(async ({url}) => {
		t.deepEqual(await send(`${url}/healthz`, 'GET'), {statusCode: 200, text: 'ok\n'});
		t.deepEqual(await send(`${url}/readyz`, 'GET'), {statusCode: 200, text: 'ready\n'});
	});
});
