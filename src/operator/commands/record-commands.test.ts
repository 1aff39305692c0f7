import test from 'ava';
import {runWithStandIns} from '../../../stand-ins/daemon/operator-fixture.ts';
import {validatePolicy} from '../../policy/validate.ts';
import {RecordWriter} from '../../reporting/record/record-writer.ts';
import {controlProgram} from './control-program.ts';

const document = validatePolicy({services: [{name: 'commandes'}]})._unsafeUnwrap();

test('a complete record passes verification, and a changed batch is reported', async t => {
	await runWithStandIns(controlProgram, async ({run, policies, objects}) => {
		const applied = await policies.applyDocument({
			document,
			baseVersion: 0,
			changeId: 'c-1',
			author: 'test',
		});
		const {digest} = applied._unsafeUnwrap();
		const writer = RecordWriter.create({
			server: 'commandes-1',
			instanceId: 'i-1',
			maxEntries: 10,
			startedAtMs: 0,
		});
		const keys: string[] = [];
		for (let index = 0; index < 3; index++) {
			writer.recordPolicyInForce(1, digest, index);
			writer.countCallForPolicyVersion(1);
			const {key, body} = writer.prepareBatch(index)!;
			const put = await objects.put(key, body, 'application/x-ndjson');
			t.true(put.isOk());
			writer.markBatchStored();
			keys.push(key);
		}

		const whole = await run('record', 'verify');
		t.is(whole.code, 0);
		t.regex(whole.stdout, /3 batches of 1 daemon instances, no fault found\n.*\n1 +3/v);

		const second = await objects.get(keys[1]!);
		const text = new TextDecoder().decode(second._unsafeUnwrap());
		const changed = new TextEncoder().encode(text.replace('"calls":1', '"calls":2'));
		await objects.put(keys[1]!, changed, 'application/x-ndjson');
		const broken = await run('record', 'verify');
		t.is(broken.code, 1);
		t.regex(broken.stderr, /brokenChain +record\/commandes-1\/i-1\/0000000003/v);
	});
});
