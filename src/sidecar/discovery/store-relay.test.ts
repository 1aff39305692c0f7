/** In a large data centre, a watcher's exchange of summaries must cost the same as in a small one. */
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {Logger} from '../../reporting/logger.ts';
import {testMember} from '../guard/fixtures.ts';
import {Directory} from './directory.ts';
import {distances, MemberView} from './member-view.ts';
import {decodeRelay} from './relay-message.ts';
import {maxSummaryPeers, StoreRelay} from './store-relay.ts';
import {relayIntervalMs, WatcherGroup} from './watcher-group.ts';

const position = {era: 1, version: 1};
const empty = {demands: [], costs: [], origins: [], reports: []};

for (const size of [4, 24, 175]) {
	test(`a watcher confirms its versions to ${size} peers, and exchanges summaries with a bounded number`, async t => {
		const relayed: string[] = [];
		const summaries: string[] = [];
		const directory = Directory.create(member =>
			MemberView.create(
				member,
				{
					kind: 'link',
					pool: {
						open() {
							throw new Error('no request is sent here');
						},
						resume() {
							throw new Error('no request is sent here');
						},
						async sync(text) {
							const {summary} = decodeRelay(text);
							relayed.push(member.instance);
							if (summary !== undefined) {
								summaries.push(member.instance);
							}

							return '';
						},
						closeIdleBefore() {
							throw new Error('no connection is closed here');
						},
					},
				},
				distances.dataCentre,
			),
		);
		const group = WatcherGroup.create({instance: 'watcher', dataCentre: 'a'});
		for (let index = 0; index < size; index++) {
			// Members that are not ready don't take the watch over.
			const member = {
				...testMember,
				instance: `peer-${index}`,
				dataCentre: 'a',
				state: 'down',
			} as const;
			directory.apply(member);
			group.recordMember(member, 0);
		}

		const relay = StoreRelay.create({
			instance: 'watcher',
			group,
			directory,
			logger: Logger.create('test', 'error'),
			listConfirmed: () => [{table: 'members', base: position, position, rows: []}],
			handleRelayed() {
				t.fail('nothing is relayed to the watcher');
			},
			createSummary: () => empty,
			applySummary() {
				// The summary is not checked here.
			},
		});
		relay.start();
		await wait(relayIntervalMs * 1.5);
		relay.stop();
		t.is(new Set(relayed).size, size);
		t.is(summaries.length, Math.min(size, maxSummaryPeers));
	});
}
