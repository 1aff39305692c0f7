/**
 * Scenario `members`: cost and duration of membership changes and of policy sync, at several fleet sizes,
 * simulated in one process with a fake clock and network.
 */
import process from 'node:process';
import {validatePolicy} from '../../src/policy/validate.ts';
import {SimFleet, type SimLocation} from '../fakes/sim-fleet.ts';
import {type Metrics, type Scenario} from './types.ts';

const defaultSizes = [25, 50, 100, 200];
/** Simulated time in which the membership changes of the start reach all members. */
const quietMs = 240_000;
const measureMs = 20_000;
const clockStepMs = 50;
const maxPolicySyncMs = 9000;

const locations: SimLocation[] = [];
for (const region of ['qc-est', 'qc-ouest']) {
	for (const letter of ['a', 'b', 'c', 'd']) {
		locations.push({region, dataCentre: `${region}-${letter}`});
	}
}

/** Advances the clock until `isReached` or the time limit; returns the simulated time in milliseconds. */
async function measureTimeUntil(fleet: SimFleet, limitMs: number, isReached: () => boolean) {
	const startedAtMs = fleet.clock.nowMs;
	while (fleet.clock.nowMs - startedAtMs < limitMs) {
		await fleet.runFor(clockStepMs);
		if (isReached()) {
			break;
		}
	}

	return fleet.clock.nowMs - startedAtMs;
}

/** Measures traffic and handling time per daemon, and the table reads of the whole fleet, per second. */
async function measureSteadyState(fleet: SimFleet) {
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

async function measurePolicySyncMs(fleet: SimFleet): Promise<number> {
	await fleet.store.applyDocument({
		document: validatePolicy({services: [{name: 'catalogue'}]})._unsafeUnwrap(),
		baseVersion: 0,
		changeId: 'members',
		author: 'bench',
	});
	return measureTimeUntil(fleet, maxPolicySyncMs, () =>
		fleet.running.every(daemon => daemon.policySync.inForce.version === 1),
	);
}

/** Counts the running daemons that list a server in `state`, or not at all if `state` is undefined. */
function countDaemonsSeeing(fleet: SimFleet, server: string, state: string | undefined): number {
	let count = 0;
	for (const daemon of fleet.running) {
		const found = daemon.gossip.listMembers().find(member => member.server === server);
		count += found?.state === state ? 1 : 0;
	}

	return count;
}

async function measureSize(seed: number, count: number): Promise<Metrics> {
	const fleet = SimFleet.create(seed);
	await fleet.startAll(count, locations);
	await fleet.runFor(quietMs);
	const steadyState = await measureSteadyState(fleet);
	const spreadMs = await measurePolicySyncMs(fleet);
	const leavingDaemon = fleet.daemons[1]!;
	leavingDaemon.announce('leaving');
	const leaveMs = await measureTimeUntil(
		fleet,
		10_000,
		() => countDaemonsSeeing(fleet, leavingDaemon.member.server, 'leaving') === count,
	);
	const killedDaemon = fleet.daemons[2]!;
	killedDaemon.kill();
	const deathMs = await measureTimeUntil(
		fleet,
		60_000,
		() => countDaemonsSeeing(fleet, killedDaemon.member.server, undefined) === count - 1,
	);
	return {members: count, ...steadyState, spreadMs, leaveMs, deathMs};
}

export const scenario: Scenario = {
	async run({seed}) {
		const requestedSizes = process.env.MEMBERS_SIZES?.split(',').map(Number);
		const measured: Metrics[] = [];
		for (const count of requestedSizes ?? defaultSizes) {
			measured.push(await measureSize(seed, count));
		}

		const largest = measured.at(-1)!;
		const holds = measured.every(size => Number(size.spreadMs) < maxPolicySyncMs);
		return {
			scenario: 'members',
			seed,
			premise: {holds, details: {quietMs, measureMs}},
			variants: {adaptive: largest},
			sizes: measured,
		};
	},
};
