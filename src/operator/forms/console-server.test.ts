import {randomUUID} from 'node:crypto';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {type PlatformStandIn} from '../../../stand-ins/platform/platform-stand-in.ts';
import {startPlatform} from '../../../stand-ins/platform/start-platform.ts';
import {PolicyStore} from '../../policy/policy-store.ts';
import {type Policy, type PolicyInput} from '../../policy/schema.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {validatePolicy} from '../../policy/validate.ts';
import {ConsoleServer} from './console-server.ts';

const key = 'admin-key-0123456789';
const nowMs = Date.UTC(2026, 0, 10);
const firstPolicy: PolicyInput = {
	services: [
		{
			name: 'commandes',
			calls: [
				{name: 'cut', method: 'POST', path: '/cuts', importance: 'high'},
				{name: 'status', path: '/cuts/:id', importance: 'normal', idempotent: true},
			],
		},
		{name: 'catalogue'},
	],
};

type Answer = {readonly status: number; readonly html: string; readonly cookie: string};
type Fixture = {
	readonly store: PolicyStore;
	readonly url: string;
	readonly standIn: PlatformStandIn;
};

function createDocument(input: PolicyInput): Policy {
	return validatePolicy(input)._unsafeUnwrap();
}

async function applyPolicy(store: PolicyStore, input: PolicyInput, baseVersion: number) {
	const change = {baseVersion, changeId: randomUUID(), author: 'test'};
	const applied = await store.applyDocument({document: createDocument(input), ...change});
	return applied._unsafeUnwrap();
}

async function runWithConsole(check: (fixture: Fixture) => Promise<void>): Promise<void> {
	const {standIn, clients, close} = await startPlatform();
	const store = PolicyStore.create(clients.table, {readTimeMs: () => nowMs});
	await applyPolicy(store, firstPolicy, 0);
	const server = await ConsoleServer.open({
		store,
		key,
		address: '127.0.0.1',
		port: 0,
		readTimeMs: () => nowMs,
	});
	try {
		await check({store, url: server.url, standIn});
	} finally {
		await server.close();
		await close();
	}
}

async function send(url: string, cookie: string, form?: URLSearchParams): Promise<Answer> {
	const answer = await request(url, {
		method: form === undefined ? 'GET' : 'POST',
		headers: {cookie, 'content-type': 'application/x-www-form-urlencoded'},
		body: form?.toString() ?? null,
	});
	const set = answer.headers['set-cookie'];
	return {
		status: answer.statusCode,
		html: await answer.body.text(),
		cookie: typeof set === 'string' ? set.split(';')[0]! : cookie,
	};
}

async function sendForStatus(url: string, cookie: string, form: URLSearchParams): Promise<number> {
	const answer = await send(url, cookie, form);
	return answer.status;
}

async function sendForForm(
	url: string,
	cookie: string,
	form: URLSearchParams,
): Promise<URLSearchParams> {
	const answer = await send(url, cookie, form);
	return readForm(answer.html);
}

async function readVersion(store: PolicyStore, version: number): Promise<PolicyVersion> {
	const read = await store.readVersion(version);
	return read._unsafeUnwrap();
}

async function readHeadVersion(store: PolicyStore): Promise<number> {
	const head = await store.readHead();
	return head._unsafeUnwrap().version;
}

async function logIn(url: string): Promise<Answer> {
	const {cookie} = await send(`${url}login`, '', new URLSearchParams({key}));
	return send(url, cookie);
}

function decodeText(html: string): string {
	return html
		.replaceAll('&quot;', '"')
		.replaceAll('&lt;', '<')
		.replaceAll('&gt;', '>')
		.replaceAll('&amp;', '&');
}

/** Reads the fields that a browser would post for the first form of a page. */
function readForm(html: string): URLSearchParams {
	const body = html.slice(html.indexOf('<form'), html.indexOf('</form>'));
	const form = new URLSearchParams();
	for (const [input] of body.matchAll(/<input[^>]*>/gv)) {
		const attribute = (name: string) => new RegExp(`${name}="([^"]*)"`, 'v').exec(input)?.[1] ?? '';
		if (!input.includes('type="checkbox"') || input.includes(' checked')) {
			form.set(attribute('name'), decodeText(attribute('value')));
		}
	}

	for (const [, name, options] of body.matchAll(
		/<select[^>]* name="([^"]*)"[^>]*>(.*?)<\/select>/gsv,
	)) {
		form.set(name!, /<option selected>([^<]*)/v.exec(options!)?.[1] ?? '');
	}

	return form;
}

function assertLabelled(t: ExecutionContext, html: string): void {
	for (const [input] of html.matchAll(/<(?:input|select)[^>]*>/gv)) {
		const id = /id="([^"]*)"/v.exec(input)?.[1];
		t.true(input.includes('type="hidden"') || html.includes(`<label for="${id ?? ''}">`), input);
	}
}

test('requests without the key reveal and change nothing', async t => {
	await runWithConsole(async ({store, url}) => {
		const wrong = new URLSearchParams({key: 'admin-key-0123456780', baseVersion: '1'});
		for (const answer of [
			await send(url, ''),
			await send(`${url}login`, '', wrong),
			await send(`${url}review`, 'primrosevalve-console=guess', new URLSearchParams()),
			await send(`${url}apply`, '', new URLSearchParams({baseVersion: '1'})),
		]) {
			t.is(answer.status, 401);
			t.notRegex(answer.html, /commandes/v);
		}

		t.is(await readHeadVersion(store), 1);
	});
});

test("a post without the session's CSRF token is refused", async t => {
	await runWithConsole(async ({store, url}) => {
		const {cookie, html} = await logIn(url);
		const form = readForm(html);
		form.set('csrfToken', 'guess');
		t.is(await sendForStatus(`${url}apply`, cookie, form), 403);
		form.delete('csrfToken');
		t.is(await sendForStatus(`${url}apply`, cookie, form), 403);
		t.is(await readHeadVersion(store), 1);
	});
});

test('a change is shown for review before it is applied, and is applied only once', async t => {
	await runWithConsole(async ({store, url}) => {
		const {cookie, html} = await logIn(url);
		assertLabelled(t, html);
		const form = readForm(html);
		form.set('call.commandes.cut.importance', 'critical');
		form.set('call.commandes.status.once', 'yes');
		form.set('service.catalogue.slotsPerServer', '40');
		form.set('new.catalogue.name', 'swatches');
		form.set('new.catalogue.path', '/swatches');
		const review = await send(`${url}review`, cookie, form);
		t.is(review.status, 200);
		assertLabelled(t, review.html);
		t.regex(review.html, /services\[commandes\]\.calls\[cut\]\.importance.*high.*critical/v);
		t.regex(review.html, /services\[catalogue\]\.slotsPerServer.*100.*40/v);
		t.is(await readHeadVersion(store), 1);

		const reviewed = readForm(review.html);
		reviewed.set('author', 'amelie');
		const applied = await send(`${url}apply`, cookie, reviewed);
		t.is(applied.status, 200);
		const again = await send(`${url}apply`, cookie, reviewed);
		t.is(again.status, 200);
		const version = await readVersion(store, 2);
		t.is(version.author, 'amelie');
		const [commandes, catalogue] = version.document.services;
		t.is(commandes!.calls[0]!.importance, 'critical');
		t.deepEqual([commandes!.calls[1]!.once, commandes!.calls[1]!.idempotent], [true, false]);
		t.is(catalogue!.slotsPerServer, 40);
		t.is(catalogue!.calls[0]!.path, '/swatches');
		t.is(await readHeadVersion(store), 2);
	});
});

test('invalid input is reported beside its field and no submitted value is lost', async t => {
	await runWithConsole(async ({store, url}) => {
		const {cookie, html} = await logIn(url);
		const form = readForm(html);
		form.set('service.catalogue.slotsPerServer', '"><script>many</script>');
		form.set('service.commandes.slotsPerServer', '33');
		const review = await send(`${url}review`, cookie, form);
		t.is(review.status, 422);
		t.notRegex(review.html, /<script/v);
		t.regex(review.html, /aria-describedby="service\.catalogue\.slotsPerServer\.note"/v);
		t.regex(review.html, /id="service\.catalogue\.slotsPerServer\.note">[^<]*many/v);
		const kept = readForm(review.html);
		t.is(kept.get('service.catalogue.slotsPerServer'), '"><script>many</script>');
		t.is(kept.get('service.commandes.slotsPerServer'), '33');
		t.is(await readHeadVersion(store), 1);
	});
});

test('a conflict names the fields, keeps the submitted values and does not revert the other change', async t => {
	await runWithConsole(async ({store, url}) => {
		const {cookie, html} = await logIn(url);
		const form = readForm(html);
		form.set('service.commandes.slotsPerServer', '20');
		form.set('call.commandes.cut.importance', 'critical');
		const reviewed = await sendForForm(`${url}review`, cookie, form);
		const [commandes, catalogue] = firstPolicy.services;
		const other = [
			{...commandes!, slotsPerServer: 50},
			{...catalogue!, slotsPerServer: 60},
		];
		await applyPolicy(store, {services: other}, 1);

		const conflict = await send(`${url}apply`, cookie, reviewed);
		t.is(conflict.status, 409);
		t.regex(conflict.html, /Changed on both sides: services\[commandes\]\.slotsPerServer\./v);
		t.regex(conflict.html, /id="service\.commandes\.slotsPerServer\.note">[^<]*50/v);
		const rebased = readForm(conflict.html);
		t.is(rebased.get('baseVersion'), '2');
		t.is(rebased.get('service.commandes.slotsPerServer'), '20');
		t.is(rebased.get('service.catalogue.slotsPerServer'), '60');

		const second = await sendForForm(`${url}review`, cookie, rebased);
		t.is(await sendForStatus(`${url}apply`, cookie, second), 200);
		const version = await readVersion(store, 3);
		t.deepEqual(
			version.document.services.map(service => service.slotsPerServer),
			[20, 60],
		);
		t.is(version.document.services[0]!.calls[0]!.importance, 'critical');
	});
});

test('submitted fields are preserved through the login after a session has ended', async t => {
	await runWithConsole(async ({url}) => {
		const {html} = await logIn(url);
		const form = readForm(html);
		form.set('service.commandes.slotsPerServer', '21');
		const expired = await send(`${url}review`, '', form);
		t.is(expired.status, 401);
		const login = readForm(expired.html);
		login.set('key', key);
		const afterLogin = await send(`${url}login`, '', login);
		t.is(readForm(afterLogin.html).get('service.commandes.slotsPerServer'), '21');
	});
});

test('a change whose answer from the table was lost is not applied twice when it is sent again', async t => {
	await runWithConsole(async ({store, url, standIn}) => {
		const {cookie, html} = await logIn(url);
		const form = readForm(html);
		form.set('service.commandes.slotsPerServer', '22');
		const reviewed = await sendForForm(`${url}review`, cookie, form);
		standIn.setFaults({kind: 'loseAnswer', operations: ['TransactWriteItems']});
		const lost = await send(`${url}apply`, cookie, reviewed);
		standIn.setFaults({kind: 'none'});
		t.true(lost.status === 200 || lost.status === 503);
		t.is(await sendForStatus(`${url}apply`, cookie, reviewed), 200);
		t.is(await readHeadVersion(store), 2);
	});
});
