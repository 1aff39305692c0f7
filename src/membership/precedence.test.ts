import test from 'ava';
import fc from 'fast-check';
import {MemberTable} from './member-table.ts';
import {compareRecords} from './precedence.ts';
import {memberStates, type Member} from './types.ts';

const seed = 20_261;

/** Records of one server, as three instances of it could gossip them. */
const recordArbitrary: fc.Arbitrary<Member> = fc
	.record({
		instance: fc.integer({min: 1, max: 3}),
		incarnation: fc.integer({min: 0, max: 3}),
		state: fc.constantFrom(...Object.values(memberStates)),
	})
	.map(({instance, incarnation, state}) => ({
		server: 'cat-1',
		service: 'catalogue',
		dataCentre: 'est-a',
		region: 'qc-est',
		address: '10.0.0.1',
		peerPort: 7000,
		instanceId: `i${instance}`,
		startedAtMs: instance < 3 ? 100 : 200,
		incarnation,
		state,
		policyVersion: 0,
	}));

test('precedence is a total order', t => {
	fc.assert(
		fc.property(recordArbitrary, recordArbitrary, recordArbitrary, (a, b, c) => {
			t.is(Math.sign(compareRecords(a, b)) + Math.sign(compareRecords(b, a)), 0);
			const isChain = compareRecords(a, b) >= 0 && compareRecords(b, c) >= 0;
			t.true(!isChain || compareRecords(a, c) >= 0);
		}),
		{seed, numRuns: 500},
	);
});

test('tables that merge the same records in any order converge', t => {
	fc.assert(
		fc.property(
			fc
				.array(recordArbitrary, {maxLength: 12})
				.chain(records =>
					fc.tuple(fc.constant(records), fc.shuffledSubarray(records, {minLength: records.length})),
				),
			([records, shuffled]) => {
				const tables = [MemberTable.create(), MemberTable.create()] as const;
				for (const [index, order] of [records, shuffled].entries()) {
					for (const record of order) {
						tables[index]?.merge(record, 0);
					}
				}

				t.deepEqual(tables[0].findMember('cat-1'), tables[1].findMember('cat-1'));
				t.deepEqual(tables[0].listDigests(), tables[1].listDigests());
				const best = records.toSorted((a, b) => compareRecords(b, a))[0];
				t.deepEqual(tables[0].findMember('cat-1'), best);
			},
		),
		{seed, numRuns: 300},
	);
});
