/**
 * A fleet of daemons in one process on a simulated clock, network and table.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Endpoint} from '../../src/membership/messages.ts';
import {type Member} from '../../src/membership/types.ts';
import {PolicyStore} from '../../src/policy/policy-store.ts';
import {type PolicyVersion} from '../../src/policy/types.ts';
import {MemoryTable} from './memory-table.ts';
import {SimClock} from './sim-clock.ts';
import {SimDaemon} from './sim-daemon.ts';
import {SimNetwork} from './sim-network.ts';

/** Location of a simulated server. */
export type SimLocation = {readonly region: string; readonly dataCentre: string};

/**
 * Creates a seeded generator of numbers from 0 (included) to 1 (excluded).
 *
 * @example
 * const random = createRandom(7);
 */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

export class SimFleet {
	/**
	 * @example
	 * const fleet = SimFleet.create(7);
	 */
	static create(seed: number): SimFleet {
		return new SimFleet(createRandom(seed));
	}

	readonly clock = SimClock.create();
	readonly table = MemoryTable.create();
	readonly network: SimNetwork;
	readonly store: PolicyStore;
	/** Data centres whose daemons can't reach the table. */
	readonly tableUnreachableFrom = new Set<string>();
	/** All daemons ever started, in order of their start. */
	readonly daemons: SimDaemon[] = [];
	onReady: ((daemon: SimDaemon) => void) | undefined;
	onAdopt: ((daemon: SimDaemon, version: PolicyVersion) => void) | undefined;
	readonly #daemonsByAddress = new Map<string, SimDaemon>();
	#nextInstance = 1;

	private constructor(readonly random: () => number) {
		this.network = SimNetwork.create(this.clock, random);
		this.store = PolicyStore.create(this.table, {readTimeMs: () => this.clock.nowMs});
	}

	get running(): SimDaemon[] {
		return this.daemons.filter(daemon => daemon.isRunning);
	}

	/** Starts a daemon; it takes over an address that was used before. `clockSkewMs` shifts its start time. */
	start(server: string, address: string, location: SimLocation, clockSkewMs = 0): SimDaemon {
		const member: Member = {
			server,
			address,
			service: 'catalogue',
			...location,
			peerPort: 7000,
			instanceId: `instance-${this.#nextInstance++}`,
			startedAtMs: this.clock.nowMs + clockSkewMs,
			incarnation: 0,
			state: 'cold',
			policyVersion: 0,
		};
		const daemon = SimDaemon.create(member, {
			clock: this.clock,
			network: this.network,
			random: this.random,
			store: this.store,
			tableDelayMs: 5,
			canReachTable: () => !this.tableUnreachableFrom.has(location.dataCentre),
			listSeeds: () => this.#pickSeeds(),
			findDaemon: endpoint => this.#daemonsByAddress.get(endpoint.address),
			onReady: readyDaemon => this.onReady?.(readyDaemon),
			onAdopt: (adoptingDaemon, version) => this.onAdopt?.(adoptingDaemon, version),
		});
		this.daemons.push(daemon);
		this.#daemonsByAddress.set(address, daemon);
		daemon.start();
		return daemon;
	}

	/** Starts daemons one after the other, `stepMs` apart, distributed evenly over the locations. */
	async startAll(count: number, locations: readonly SimLocation[], stepMs = 5): Promise<void> {
		for (let index = 0; index < count; index++) {
			this.start(
				`server-${index}`,
				`10.0.${Math.floor(index / 256)}.${index % 256}`,
				locations[index % locations.length]!,
			);
			await this.clock.runUntil(this.clock.nowMs + stepMs);
		}
	}

	async runFor(ms: number): Promise<void> {
		await this.clock.runUntil(this.clock.nowMs + ms);
	}

	/** Picks endpoints of a few running daemons, in place of the seed rows of the platform's table. */
	#pickSeeds(): Endpoint[] {
		const {running} = this;
		const seeds: Endpoint[] = [];
		for (let index = 0; index < Math.min(5, running.length); index++) {
			const {address, peerPort} = running[Math.floor(this.random() * running.length)]!.member;
			seeds.push({address, peerPort});
		}

		return seeds;
	}
}
