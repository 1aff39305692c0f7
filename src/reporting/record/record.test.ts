import {Buffer} from 'node:buffer';
import test from 'ava';
import {builtInVersion} from '../../policy/built-in.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {RecordWriter} from './record-writer.ts';
import {verifyRecord, type StoredBatch} from './verify-record.ts';

const history: PolicyVersion[] = [1, 2, 3].map(version => ({
	...builtInVersion,
	version,
	digest: `digest-${version}`,
}));

function createWriter(maxEntries = 100): RecordWriter {
	return RecordWriter.create({server: 'c-1', instanceId: 'i1', maxEntries, startedAtMs: 0});
}

function writeBatch(writer: RecordWriter, nowMs: number): StoredBatch {
	const batch = writer.prepareBatch(nowMs)!;
	writer.markBatchStored();
	return batch;
}

function writeThreeBatches(): StoredBatch[] {
	const writer = createWriter();
	const batches: StoredBatch[] = [];
	for (const version of [1, 2, 3]) {
		writer.recordPolicyInForce(version, `digest-${version}`, version * 1000);
		writer.countCallForPolicyVersion(version);
		writer.countCallForPolicyVersion(version);
		batches.push(writeBatch(writer, version * 1000 + 500));
	}

	return batches;
}

function listFindingKinds(batches: readonly StoredBatch[]): string[] {
	return verifyRecord(batches, history).findings.map(finding => finding.kind);
}

test('an unbroken record is verified and counts the calls of each version', t => {
	const verification = verifyRecord(writeThreeBatches(), history);
	t.deepEqual(verification.findings, []);
	t.deepEqual(
		[...verification.calls],
		[
			[1, 2],
			[2, 2],
			[3, 2],
		],
	);
	t.is(verification.batches, 3);
});

test('a changed, a missing and an unreadable batch each give a finding', t => {
	const batches = writeThreeBatches();
	const text = Buffer.from(batches[1]!.body).toString('utf8').replace('"calls":2', '"calls":9');
	const changed = {...batches[1]!, body: Buffer.from(text)};
	t.deepEqual(listFindingKinds([batches[0]!, changed, batches[2]!]), ['brokenChain']);
	t.deepEqual(listFindingKinds([batches[0]!, batches[2]!]), ['missingBatch']);
	const unreadable = {...batches[1]!, body: Buffer.from('{')};
	t.deepEqual(listFindingKinds([batches[0]!, unreadable]), ['unreadable']);
});

test('a decreasing version, another digest and an unknown version each give a finding', t => {
	const writer = createWriter();
	writer.recordPolicyInForce(2, 'digest-2', 1);
	writer.recordPolicyInForce(1, 'digest-1', 2);
	writer.recordPolicyInForce(3, 'another', 3);
	writer.countCallForPolicyVersion(9);
	t.deepEqual(listFindingKinds([writeBatch(writer, 10)]), [
		'backwards',
		'disagreement',
		'disagreement',
	]);
});

test('a batch stays the same until it is marked as stored, and entries dropped meanwhile give a gap', t => {
	const writer = createWriter(3);
	writer.recordPolicyInForce(1, 'digest-1', 1);
	const first = writer.prepareBatch(10)!;
	for (let call = 0; call < 5; call++) {
		writer.recordPolicyInForce(2, 'digest-2', 20 + call);
		writer.countCallForPolicyVersion(2);
	}

	t.is(writer.prepareBatch(30), first);
	writer.markBatchStored();
	const second = writeBatch(writer, 40);
	const verification = verifyRecord([first, second], history);
	t.deepEqual(
		verification.findings.map(finding => finding.detail),
		['3 entries lost from 20 to 40'],
	);
	t.is(verification.calls.get(2), 5);
	t.is(writer.prepareBatch(50), undefined);
});
