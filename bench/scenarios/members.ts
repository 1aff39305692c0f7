/**
 * Scenario `members`: what membership and the spread of a policy cost and how long they take, at several
 * numbers of members in one process over a fake clock and network.
 */
import process from 'node:process';
import {validatePolicy} from '../../src/policy/validate.ts';
import {SimFleet, type SimPlace} from '../fakes/sim-fleet.ts';
import {type Figures, type Scenario} from './types.ts';

const defaultSizes = [25, 50, 100, 200];
/** Simulated time until the changes of the start have been told to all. */
const quietMs = 240_000;
const measureMs = 20_000;
const stepMs = 50;
const maxSpreadMs = 9000;

const places: SimPlace[] = [];
for (const region of ['qc-est', 'qc-ouest']) {
	for (const letter of ['a', 'b', 'c', 'd']) {
		places.push({region, dataCentre: `${region}-${letter}`});
	}
}

/** Steps the clock until `holds` or the time is over; returns the simulated time that it took. */
async function measureUntil(fleet: SimFleet, limitMs: number, holds: () => boolean) {
	const startedAtMs = fleet.clock.nowMs;
	while (fleet.clock.nowMs - startedAtMs < limitMs) {
		await fleet.runFor(stepMs);
		if (holds()) {
			break;
		}
	}

	return fleet.clock.nowMs - startedAtMs;
}

/** Measures bytes sent and received, and processor time, of the mean daemon. */
async function measureQuiet(fleet: SimFleet) {
	const before = fleet.daemons.map(daemon => ({...daemon.stats}));
	await fleet.runFor(measureMs);
	let bytes = 0;
	let handleMs = 0;
	let tableReads = 0;
	for (const [index, daemon] of fleet.daemons.entries()) {
		bytes += daemon.stats.bytes - before[index]!.bytes;
		handleMs += daemon.stats.handleMs - before[index]!.handleMs;
		tableReads += daemon.stats.tableReads - before[index]!.tableReads;
	}

	const daemonSeconds = (fleet.daemons.length * measureMs) / 1000;
	return {
		bytesPerSecond: bytes / daemonSeconds,
		handleMsPerSecond: handleMs / daemonSeconds,
		tableReadsPerSecond: (tableReads * 1000) / measureMs,
	};
}

async function measureSpread(fleet: SimFleet): Promise<number> {
	await fleet.store.applyDocument({
		document: validatePolicy({services: [{name: 'catalogue'}]})._unsafeUnwrap(),
		baseVersion: 0,
		changeId: 'members',
		author: 'bench',
	});
	return measureUntil(fleet, maxSpreadMs, () =>
		fleet.running.every(daemon => daemon.spread.inForce.version === 1),
	);
}

/** Counts the daemons that see a state of a server, or none where it is undefined. */
function countSeen(fleet: SimFleet, server: string, state: string | undefined): number {
	let count = 0;
	for (const daemon of fleet.running) {
		const found = daemon.gossip.listMembers().find(member => member.server === server);
		count += found?.state === state ? 1 : 0;
	}

	return count;
}

async function measureSize(seed: number, count: number): Promise<Figures> {
	const fleet = SimFleet.create(seed);
	await fleet.startAll(count, places);
	await fleet.runFor(quietMs);
	const quiet = await measureQuiet(fleet);
	const spreadMs = await measureSpread(fleet);
	const leaver = fleet.daemons[1]!;
	leaver.announce('leaving');
	const leaveMs = await measureUntil(
		fleet,
		10_000,
		() => countSeen(fleet, leaver.member.server, 'leaving') === count,
	);
	const victim = fleet.daemons[2]!;
	victim.kill();
	const deathMs = await measureUntil(
		fleet,
		60_000,
		() => countSeen(fleet, victim.member.server, undefined) === count - 1,
	);
	return {members: count, ...quiet, spreadMs, leaveMs, deathMs};
}

export const scenario: Scenario = {
	async run({seed}) {
		const chosen = process.env.MEMBERS_SIZES?.split(',').map(Number);
		const measured: Figures[] = [];
		for (const count of chosen ?? defaultSizes) {
			measured.push(await measureSize(seed, count));
		}

		const largest = measured.at(-1)!;
		const holds = measured.every(size => Number(size.spreadMs) < maxSpreadMs);
		return {
			scenario: 'members',
			seed,
			premise: {holds, details: {quietMs, measureMs}},
			variants: {adaptive: largest},
			sizes: measured,
		};
	},
};
