/**
 * What must hold at every moment of a randomised run, checked from outside the code under test.
 */
import {compareRecords} from '../../src/membership/precedence.ts';
import {type Member} from '../../src/membership/types.ts';
import {type PolicyError} from '../../src/policy/errors.ts';
import {type PolicyVersion} from '../../src/policy/types.ts';
import {type SimDaemon} from '../fakes/sim-daemon.ts';
import {type SimFleet} from '../fakes/sim-fleet.ts';

/** What an operator was told of a change. */
export type ReportedChange = {
	readonly changeId: string;
	readonly outcome: 'applied' | PolicyError['kind'];
	readonly version?: number;
};

/** Most violations that a run lists in full. */
const maxListedViolations = 20;

export class Oracle {
	/**
	 * @example
	 * const oracle = Oracle.create(fleet);
	 */
	static create(fleet: SimFleet): Oracle {
		return new Oracle(fleet);
	}

	readonly violations: string[] = [];
	count = 0;
	readonly #changes: ReportedChange[] = [];
	readonly #versions = new Map<SimDaemon, number>();
	readonly #records = new Map<SimDaemon, Map<string, Member>>();
	/** Digests of committed versions, by number. */
	readonly #digests = new Map<number, string>();

	private constructor(private readonly fleet: SimFleet) {}

	recordChange(change: ReportedChange): void {
		this.#changes.push(change);
	}

	/** Checks a version that a daemon puts in force: higher than before, and a committed one. */
	recordAdoption(daemon: SimDaemon, version: PolicyVersion): void {
		const before = this.#versions.get(daemon) ?? 0;
		this.#versions.set(daemon, version.version);
		this.#assert(version.version > before, `policy fell from ${before} to ${version.version}`);
		const committed = this.#digests.get(version.version) ?? this.#readCommitted(version.version);
		this.#assert(committed === version.digest, `version ${version.version} was never committed`);
	}

	/** Checks that no record of a member fell behind one that the same daemon had. */
	checkRecords(): void {
		for (const daemon of this.fleet.running) {
			const records = this.#records.get(daemon) ?? new Map<string, Member>();
			const current = new Map<string, Member>();
			for (const member of daemon.gossip.listMembers()) {
				current.set(member.server, member);
				const before = records.get(member.server);
				const isBehind = before !== undefined && compareRecords(member, before) < 0;
				this.#assert(!isBehind, `${daemon.member.server} went back on ${member.server}`);
			}

			this.#records.set(daemon, current);
			this.#checkOwnDataCentre(daemon, current);
		}
	}

	/** Checks that all running daemons agree with the truth, once faults have ended. */
	checkConvergence(): void {
		const expected = this.fleet.running.map(daemon => daemon.member.instanceId).toSorted();
		const head = this.#readHeadVersion();
		for (const daemon of this.fleet.running) {
			const {server} = daemon.member;
			const seen = daemon.gossip.listUsableMembers().map(member => member.instanceId);
			const isWhole = seen.toSorted().join(',') === expected.join(',');
			this.#assert(isWhole, `${server} sees ${seen.length} of ${expected.length} instances`);
			const {version} = daemon.spread.inForce;
			this.#assert(version === head, `${server} has version ${version}, the table has ${head}`);
			this.#assert(daemon.spread.isReady, `${server} is not ready`);
		}
	}

	/** Checks the history against what operators were told. */
	async checkHistory(): Promise<void> {
		const listed = await this.fleet.store.listHistory();
		if (listed.isErr()) {
			this.#assert(false, listed.error.message);
			return;
		}

		const times = new Map<string, number>();
		for (const version of listed.value) {
			times.set(version.changeId, (times.get(version.changeId) ?? 0) + 1);
			this.#digests.set(version.version, version.digest);
		}

		for (const {changeId, outcome: told, version} of this.#changes) {
			const count = times.get(changeId) ?? 0;
			const isListed = version === undefined || listed.value[version - 1]?.changeId === changeId;
			this.#assert(told !== 'applied' || (count === 1 && isListed), `${changeId} is not in force`);
			this.#assert(count <= 1, `${changeId} stands ${count} times`);
			const isRefused = told === 'conflict' || told === 'unavailable';
			this.#assert(!isRefused || count === 0, `${changeId} was told as ${told} and is in force`);
		}
	}

	/** Members of the own data centre stay usable whatever the links do. */
	#checkOwnDataCentre(daemon: SimDaemon, members: ReadonlyMap<string, Member>): void {
		const usable = new Set(daemon.gossip.listUsableMembers().map(member => member.server));
		for (const member of members.values()) {
			const isNear = member.dataCentre === daemon.member.dataCentre;
			this.#assert(!isNear || usable.has(member.server), `${member.server} is unusable at home`);
		}
	}

	#readCommitted(version: number): string | undefined {
		const sort = `version/${String(version).padStart(10, '0')}`;
		const digest = this.fleet.table.findRow({partition: 'config', sort})?.revision;
		if (digest !== undefined) {
			this.#digests.set(version, digest);
		}

		return digest;
	}

	#readHeadVersion(): number {
		const row = this.fleet.table.findRow({partition: 'config', sort: 'head'});
		return row ? (JSON.parse(row.body) as {version: number}).version : 0;
	}

	#assert(holds: boolean, text: string): void {
		if (holds) {
			return;
		}

		this.count++;
		if (this.violations.length < maxListedViolations) {
			this.violations.push(`${Math.round(this.fleet.clock.nowMs)} ms: ${text}`);
		}
	}
}
