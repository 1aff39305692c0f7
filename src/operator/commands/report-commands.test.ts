import {readFileSync} from 'node:fs';
import test from 'ava';
import {runWithStandIns} from '../../../stand-ins/daemon/operator-fixture.ts';
import {validatePolicy} from '../../policy/validate.ts';
import {type BurnReport} from '../../reporting/burn/types.ts';
import {reportProgram} from './report-commands.ts';

const policy = validatePolicy({
	services: [{name: 'commandes'}],
	objectives: [{service: 'commandes', target: 0.99}],
})._unsafeUnwrap();
const change = {document: policy, baseVersion: 0, changeId: 'c-1', author: 'test'};

test('the burn report of stored readings is written as text, JSON and HTML', async t => {
	await runWithStandIns(reportProgram, async ({run, daemon, policies, writeText}) => {
		const applied = await policies.applyDocument(change);
		t.true(applied.isOk());
		const call = {service: 'commandes', caller: 'retailer', latencyMs: 5, outcome: 'answered'};
		daemon.metrics.countCall({...call, isGood: true});
		const collected = await run('collect', '--once');
		t.is(collected.code, 0);
		t.regex(collected.stdout, /^1 counters of 1 daemons read/v);
		const text = await run('burn');
		t.regex(text.stdout, /commandes, caller \*: 99\.000 % in 30 days/v);
		const json = await run('burn', '--format', 'json');
		t.is((JSON.parse(json.stdout) as BurnReport).policyVersion, 1);
		const file = writeText('burn.html', '');
		const page = await run('burn', '--format', 'html', '--out', file);
		t.is(page.code, 0);
		t.regex(readFileSync(file, 'utf8'), /<svg/v);
	});
});

test('an unknown format and a malformed file of readings are rejected, naming the formats and the line', async t => {
	await runWithStandIns(reportProgram, async ({run, policies, writeText}) => {
		await policies.applyDocument(change);
		const format = await run('burn', '--format', 'pdf');
		t.is(format.code, 2);
		t.regex(format.stderr, /text, json, html/v);
		const malformed = await run('burn', '--rows', writeText('bad.jsonl', '{}\n'));
		t.is(malformed.code, 1);
		t.regex(malformed.stderr, /bad\.jsonl: line 1 is malformed/v);
		const missing = await run('burn', '--rows', '/nonexistent.jsonl');
		t.is(missing.code, 2);
	});
});
