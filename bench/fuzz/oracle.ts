/**
 * Test oracle of a randomised run: invariants checked independently of the code under test.
 */
import {compareRecords} from '../../src/membership/precedence.ts';
import {type Member} from '../../src/membership/types.ts';
import {type PolicyError} from '../../src/policy/errors.ts';
import {type PolicyVersion} from '../../src/policy/types.ts';
import {type SimDaemon} from '../fakes/sim-daemon.ts';
import {type SimFleet} from '../fakes/sim-fleet.ts';

/** The outcome of a policy change as reported to its operator. */
export type ReportedChange = {
	readonly changeId: string;
	readonly outcome: 'applied' | PolicyError['kind'];
	readonly version?: number;
};

/** Limit of the violations that are listed with their text; further ones are only counted. */
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
	readonly #lastVersions = new Map<SimDaemon, number>();
	readonly #lastRecords = new Map<SimDaemon, Map<string, Member>>();
	/** Digests of committed policy versions, by version number. */
	readonly #digests = new Map<number, string>();

	private constructor(private readonly fleet: SimFleet) {}

	recordChange(change: ReportedChange): void {
		this.#changes.push(change);
	}

	/** Checks that a version which a daemon puts in force is committed and higher than the previous one. */
	recordAdoption(daemon: SimDaemon, version: PolicyVersion): void {
		const before = this.#lastVersions.get(daemon) ?? 0;
		this.#lastVersions.set(daemon, version.version);
		this.#check(version.version > before, `policy fell from ${before} to ${version.version}`);
		const committed =
			this.#digests.get(version.version) ?? this.#readCommittedDigest(version.version);
		this.#check(committed === version.digest, `version ${version.version} was never committed`);
	}

	/** Checks that no daemon replaced a member record by an older one. */
	checkRecords(): void {
		for (const daemon of this.fleet.running) {
			const records = this.#lastRecords.get(daemon) ?? new Map<string, Member>();
			const current = new Map<string, Member>();
			for (const member of daemon.gossip.listMembers()) {
				current.set(member.server, member);
				const before = records.get(member.server);
				const isOlder = before !== undefined && compareRecords(member, before) < 0;
				this.#check(!isOlder, `${daemon.member.server} went back on ${member.server}`);
			}

			this.#lastRecords.set(daemon, current);
			this.#checkLocalDataCentre(daemon, current);
		}
	}

	/** Checks after the faults that every daemon knows the running ones and has the newest version. */
	checkConvergence(): void {
		const expected = this.fleet.running.map(daemon => daemon.member.instanceId).toSorted();
		const head = this.#readHeadVersion();
		for (const daemon of this.fleet.running) {
			const {server} = daemon.member;
			const seen = daemon.gossip.listUsableMembers().map(member => member.instanceId);
			const isComplete = seen.toSorted().join(',') === expected.join(',');
			this.#check(isComplete, `${server} sees ${seen.length} of ${expected.length} instances`);
			const {version} = daemon.policySync.inForce;
			this.#check(version === head, `${server} has version ${version}, the table has ${head}`);
			this.#check(daemon.policySync.isReady, `${server} is not ready`);
		}
	}

	/** Checks the policy history against the outcomes reported to operators. */
	async checkHistory(): Promise<void> {
		const listed = await this.fleet.store.listHistory();
		if (listed.isErr()) {
			this.#check(false, listed.error.message);
			return;
		}

		const changeCounts = new Map<string, number>();
		for (const version of listed.value) {
			changeCounts.set(version.changeId, (changeCounts.get(version.changeId) ?? 0) + 1);
			this.#digests.set(version.version, version.digest);
		}

		for (const {changeId, outcome, version} of this.#changes) {
			const count = changeCounts.get(changeId) ?? 0;
			const isListed = version === undefined || listed.value[version - 1]?.changeId === changeId;
			this.#check(
				outcome !== 'applied' || (count === 1 && isListed),
				`${changeId} is not in force`,
			);
			this.#check(count <= 1, `${changeId} stands ${count} times`);
			const isRejected = outcome === 'conflict' || outcome === 'unavailable';
			this.#check(!isRejected || count === 0, `${changeId} was told as ${outcome} and is in force`);
		}
	}

	/** Checks that members of the local data centre stay usable whatever network faults there are. */
	#checkLocalDataCentre(daemon: SimDaemon, members: ReadonlyMap<string, Member>): void {
		const usable = new Set(daemon.gossip.listUsableMembers().map(member => member.server));
		for (const member of members.values()) {
			const isLocal = member.dataCentre === daemon.member.dataCentre;
			this.#check(!isLocal || usable.has(member.server), `${member.server} is unusable at home`);
		}
	}

	#readCommittedDigest(version: number): string | undefined {
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

	#check(holds: boolean, text: string): void {
		if (holds) {
			return;
		}

		this.count++;
		if (this.violations.length < maxListedViolations) {
			this.violations.push(`${Math.round(this.fleet.clock.nowMs)} ms: ${text}`);
		}
	}
}
