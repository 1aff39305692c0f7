/** Summaries are exchanged seldom in calm, each second in an overload, and without those of lost instances. */
import test from 'ava';
import {type OverloadSummary} from '../overload/overload-summary.ts';
import {SummaryCollector} from './summary-collector.ts';

function createSummary(instance: string, openShare: number): OverloadSummary {
	const report = {
		instance,
		service: 'shop',
		region: 'east',
		openShare,
		repeatableShare: 1,
		ageMs: 100,
	};
	return {demands: [], costs: [], origins: [], reports: [report]};
}

/** Counts the exchanges of ten seconds in which one instance reports a share. */
function countExchanges(openShare: number): number {
	const collector = SummaryCollector.create();
	let exchanges = 0;
	for (let nowMs = 0; nowMs < 10_000; nowMs += 1000) {
		collector.record('one', createSummary('one', openShare), nowMs);
		if (collector.isDue(nowMs)) {
			exchanges++;
			collector.merge(nowMs);
		}
	}

	return exchanges;
}

test('summaries are exchanged every four seconds in calm and each second in an overload', t => {
	t.is(countExchanges(1), 3);
	t.is(countExchanges(0.5), 10);
});

test('a report ages while its summary is kept, and the summary of a lost instance is left out', t => {
	const collector = SummaryCollector.create();
	collector.record('one', createSummary('one', 1), 0);
	collector.record('two', createSummary('two', 1), 9000);
	t.deepEqual(
		collector.merge(10_000).reports.map(({instance, ageMs}) => ({instance, ageMs})),
		[{instance: 'two', ageMs: 1100}],
	);
});
