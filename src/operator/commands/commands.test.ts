import test from 'ava';
import {runCommand, runWithStandIns} from '../../../stand-ins/daemon/operator-fixture.ts';
import {type BurnReport} from '../../reporting/burn/types.ts';
import {controlProgram} from './control-program.ts';

const formatPolicy = (slotsPerServer: number) =>
	JSON.stringify({
		services: [{name: 'commandes', slotsPerServer}],
		objectives: [{service: 'commandes', target: 0.99}],
	});

test('a document is validated, applied, shown, compared and listed in the history', async t => {
	await runWithStandIns(controlProgram, async ({run, writeText}) => {
		const file = writeText('policy.json', formatPolicy(12));
		const valid = await run('config', 'validate', file);
		t.is(valid.code, 0);
		const applied = await run('config', 'apply', file, '--base', '0', '--author', 'amelie');
		t.is(applied.code, 0);
		t.regex(applied.stdout, /version 1 applied/v);
		const shown = await run('config', 'show', '--json');
		t.is((JSON.parse(shown.stdout) as {version: number}).version, 1);
		const diff = await run('config', 'diff', writeText('next.json', formatPolicy(14)));
		t.regex(diff.stdout, /services\[commandes\]\.slotsPerServer +12 +14/v);
		const history = await run('config', 'history');
		t.regex(history.stdout, /1 +\S+ +amelie/v);
	});
});

test('a conflict exits with 3, names the conflicting fields and writes nothing', async t => {
	await runWithStandIns(controlProgram, async ({run, writeText}) => {
		await run('config', 'apply', writeText('a.json', formatPolicy(12)), '--base', '0');
		await run('config', 'apply', writeText('b.json', formatPolicy(13)), '--base', '1');
		const late = await run('config', 'apply', writeText('c.json', formatPolicy(14)), '--base', '1');
		t.is(late.code, 3);
		t.regex(late.stderr, /changed on both sides: services\[commandes\]\.slotsPerServer/v);
		t.regex(late.stderr, /--base 2/v);
		const shown = await run('config', 'show');
		t.regex(shown.stdout, /"slotsPerServer": 13/v);
	});
});

test('a retry with the same change id resolves an unknown outcome and applies the change once', async t => {
	await runWithStandIns(controlProgram, async ({run, writeText, standIn}) => {
		const file = writeText('policy.json', formatPolicy(12));
		standIn.setFaults({kind: 'loseAnswer', operations: ['TransactWriteItems', 'GetItem']});
		const lost = await run('config', 'apply', file, '--base', '0', '--change-id', 'c-1');
		t.is(lost.code, 1);
		standIn.setFaults({kind: 'none'});
		const first = await run('config', 'apply', file, '--base', '0', '--change-id', 'c-1');
		const again = await run('config', 'apply', file, '--base', '0', '--change-id', 'c-1');
		t.deepEqual([first.code, again.code], [0, 0]);
		t.is(first.stdout, again.stdout);
	});
});

test('wrong usage and settings exit with 2, failures with 1, and both give a next step', async t => {
	await runWithStandIns(controlProgram, async ({run, writeText, standIn}) => {
		const unknown = await run('config', 'burn');
		t.is(unknown.code, 2);
		const settings = await runCommand(controlProgram, ['status', '--settings', '/nonexistent.ini']);
		t.is(settings.code, 2);
		t.regex(settings.stderr, /docs\/SETTINGS\.md/v);
		const base = await run(
			'config',
			'apply',
			writeText('p.json', formatPolicy(1)),
			'--base',
			'one',
		);
		t.is(base.code, 2);
		const invalid = await run('config', 'validate', writeText('bad.json', formatPolicy(0)));
		t.is(invalid.code, 1);
		t.regex(invalid.stderr, /services\[0\]\.slotsPerServer: 0: .*\n.*docs\/POLICY\.md/v);
		const json = await run('config', 'show', '9', '--json');
		t.is(json.code, 1);
		t.is((JSON.parse(json.stderr) as {error: {kind: string}}).error.kind, 'failed');
		standIn.setFaults({kind: 'fail'});
		const down = await run('config', 'history');
		t.is(down.code, 1);
		t.regex(down.stderr, /Try again once the table answers/v);
	});
});

test('status shows each daemon, and a wrong administration key is refused for status and drain', async t => {
	await runWithStandIns(controlProgram, async ({run, writeSettings, daemon}) => {
		const status = await run('status');
		t.is(status.code, 0);
		t.regex(status.stdout, /est-a +commandes +commandes-1 +serving +0 +high +4\/10 +2/v);
		const servers = await run('servers', '--service', 'catalogue');
		t.notRegex(servers.stdout, /commandes-1/v);
		const wrong = writeSettings('admin-key-0123456780');
		const refused = await runCommand(controlProgram, ['status', '--settings', wrong]);
		t.is(refused.code, 1);
		t.regex(refused.stderr, /refuses the key/v);
		const drain = await runCommand(controlProgram, ['drain', 'commandes-1', '--settings', wrong]);
		t.is(drain.code, 1);
		t.is(daemon.drainCount, 0);
	});
});

test('drain waits until the daemon has stopped and fails for an unknown server', async t => {
	await runWithStandIns(controlProgram, async ({run, daemon}) => {
		const unknown = await run('drain', 'commandes-9');
		t.is(unknown.code, 1);
		t.regex(unknown.stderr, /List the servers with "servers"/v);
		t.is(daemon.drainCount, 0);
		const drained = await run('drain', 'commandes-1');
		t.is(drained.code, 0);
		t.is(daemon.drainCount, 1);
	});
});

test('burn adds a live reading to the stored ones, and needs no daemon with --kept', async t => {
	await runWithStandIns(controlProgram, async ({run, daemon, writeText}) => {
		await run('config', 'apply', writeText('policy.json', formatPolicy(12)), '--base', '0');
		const call = {service: 'commandes', caller: 'retailer', latencyMs: 5, outcome: 'answered'};
		daemon.metrics.countCall({...call, isGood: true});
		daemon.metrics.countCall({...call, isGood: false});
		const live = await run('burn', '--json');
		const {objectives, policyVersion} = JSON.parse(live.stdout) as BurnReport;
		t.is(policyVersion, 1);
		t.like(objectives[0]!.budget, {kind: 'measured', total: 2, failed: 1});
		daemon.close();
		const unreachable = await run('burn');
		t.is(unreachable.code, 1);
		t.regex(unreachable.stderr, /--kept/v);
		const kept = await run('burn', '--kept');
		t.is(kept.code, 0);
		t.regex(kept.stdout, /budget no data/v);
	});
});

test('every command has a help text with an example and exit codes', t => {
	for (const command of controlProgram.commands) {
		const usage = command.usage!;
		t.regex(usage.details!, /Exit codes: 0 done/v);
		t.true(usage.examples!.length > 0);
	}
});

test('a conflict with an identical change reports that it is in force already', async t => {
	await runWithStandIns(controlProgram, async ({run, writeText}) => {
		const file = writeText('policy.json', formatPolicy(12));
		await run('config', 'apply', writeText('base.json', formatPolicy(11)), '--base', '0');
		await run('config', 'apply', file, '--base', '1');
		const again = await run('config', 'apply', file, '--base', '1');
		t.is(again.code, 3);
		t.regex(again.stderr, /version 2 has your changes already/v);
	});
});
