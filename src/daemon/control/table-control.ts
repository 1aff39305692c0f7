/**
 * Control by the table alone: announces this daemon, reads the members and the policy in force.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {type GuardState} from '../../call/types.ts';
import {type Member, type MemberState} from '../../membership/types.ts';
import {type Table} from '../../platform/types.ts';
import {builtInVersion} from '../../policy/built-in.ts';
import {PolicyStore} from '../../policy/policy-store.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {type Logger} from '../../reporting/logger.ts';
import {readMonotonicMs} from '../clock.ts';
import {type Identity} from '../identity.ts';
import {type ControlMessage} from '../messages.ts';

export type ControlOptions = {
	readonly identity: Identity;
	readonly peerPort: number;
	readonly table: Table;
	readonly logger: Logger;
	readonly readGuardState: () => GuardState;
	readonly send: (message: ControlMessage) => void;
};

const memberPartition = 'members';
const intervalMs = 1000;
/** Time without a new heartbeat after which a member is left out, in milliseconds. */
const silentMemberMs = 5000;

type Sighting = {readonly heartbeat: string; readonly seenAtMs: number};

/** Owns the membership row of this daemon and the version in force. */
export class TableControl {
	/**
	 * @example
	 * const control = TableControl.create(options);
	 * await control.start();
	 */
	static create(options: ControlOptions): TableControl {
		return new TableControl(options);
	}

	readonly #options: ControlOptions;
	readonly #store: PolicyStore;
	readonly #sightings = new Map<string, Sighting>();
	#policy: PolicyVersion = builtInVersion;
	#members: readonly Member[] = [];
	#heartbeat = 0;
	#isLeaving = false;
	#isStopped = false;

	private constructor(options: ControlOptions) {
		this.#options = options;
		this.#store = PolicyStore.create(options.table, {readTimeMs: () => Date.now()});
	}

	get policy(): PolicyVersion {
		return this.#policy;
	}

	get members(): readonly Member[] {
		return this.#members;
	}

	/** Makes the first round before it returns, then one each second. */
	async start(): Promise<void> {
		await this.#runRound();
		void this.#runRounds();
	}

	/** Announces at once that this daemon takes no new work. */
	async leave(): Promise<void> {
		this.#isLeaving = true;
		await this.#announce();
	}

	stop(): void {
		this.#isStopped = true;
	}

	async #runRounds(): Promise<void> {
		while (!this.#isStopped) {
			await wait(intervalMs, undefined, {ref: false});
			await this.#runRound();
		}
	}

	async #runRound(): Promise<void> {
		await this.#announce();
		await this.#readMembers();
		await this.#readPolicy();
	}

	async #announce(): Promise<void> {
		this.#heartbeat++;
		const written = await this.#options.table.write({
			kind: 'put',
			row: {
				partition: memberPartition,
				sort: this.#options.identity.server,
				revision: `${this.#options.identity.instanceId}/${this.#heartbeat}`,
				body: JSON.stringify(this.#createMember()),
			},
			condition: {kind: 'none'},
		});
		if (written.isErr()) {
			this.#options.logger.warn({error: written.error.message}, 'announcement failed');
		}
	}

	#createMember(): Member {
		const {identity, peerPort} = this.#options;
		return {
			...identity,
			peerPort,
			incarnation: this.#heartbeat,
			state: this.#findState(),
			policyVersion: this.#policy.version,
		};
	}

	#findState(): MemberState {
		const state = this.#options.readGuardState();
		if (this.#isLeaving || state === 'draining') {
			return 'leaving';
		}

		return state;
	}

	async #readMembers(): Promise<void> {
		const rows = await this.#options.table.query(memberPartition, '');
		if (rows.isErr()) {
			this.#options.logger.warn({error: rows.error.message}, 'members not read');
			return;
		}

		const nowMs = readMonotonicMs();
		const members: Member[] = [];
		for (const row of rows.value) {
			const sighting = this.#sightings.get(row.sort);
			if (sighting?.heartbeat !== row.revision) {
				this.#sightings.set(row.sort, {heartbeat: row.revision, seenAtMs: nowMs});
			} else if (nowMs - sighting.seenAtMs > silentMemberMs) {
				continue;
			}

			members.push(JSON.parse(row.body) as Member);
		}

		this.#members = members;
		this.#options.send({kind: 'members', members});
	}

	async #readPolicy(): Promise<void> {
		const head = await this.#store.readHead();
		if (head.isErr()) {
			this.#options.logger.warn({error: head.error.message}, 'policy head not read');
			return;
		}

		if (head.value.version <= this.#policy.version) {
			return;
		}

		const version = await this.#store.readVersion(head.value.version);
		if (version.isErr()) {
			this.#options.logger.warn({error: version.error.message}, 'policy version not read');
			return;
		}

		this.#policy = version.value;
		this.#options.send({kind: 'policy', policy: version.value});
		this.#options.logger.info(
			{version: version.value.version, digest: version.value.digest},
			'policy in force',
		);
	}
}
