/**
 * Faults of daemons in a randomised run: kills, replacements, freezes and leaves.
 */
import {type SimDaemon} from '../fakes/sim-daemon.ts';
import {type SimFleet, type SimPlace} from '../fakes/sim-fleet.ts';
import {type FaultCounts, pickOne} from './fault-kinds.ts';

export const locations: readonly SimPlace[] = [
	{region: 'qc-est', dataCentre: 'est-a'},
	{region: 'qc-est', dataCentre: 'est-b'},
	{region: 'qc-ouest', dataCentre: 'ouest-a'},
	{region: 'qc-ouest', dataCentre: 'ouest-b'},
];
export const fleetSize = 16;
const minRunning = 10;

export class FleetFaults {
	/**
	 * @example
	 * const faults = FleetFaults.create(fleet, counts, random);
	 * faults.kill();
	 */
	static create(fleet: SimFleet, counts: FaultCounts, random: () => number): FleetFaults {
		return new FleetFaults(fleet, counts, random);
	}

	#nextServer = fleetSize;

	private constructor(
		private readonly fleet: SimFleet,
		private readonly faults: FaultCounts,
		private readonly random: () => number,
	) {}

	kill(): void {
		if (this.fleet.running.length > minRunning) {
			this.faults.kill++;
			pickOne(this.fleet.running, this.random).kill();
		}
	}

	/** Kills a daemon and starts another at its address, under the same server name or a new one. */
	replace(): void {
		const victim = pickOne(this.fleet.running, this.random);
		victim.kill();
		this.faults.replace++;
		this.#startReplacement(victim);
	}

	/** Replaces a frozen daemon, which later goes on without knowing. */
	replaceFrozen(): void {
		const victim = pickOne(this.fleet.running, this.random);
		victim.freeze();
		this.faults.replaceFrozen++;
		const {server, region, dataCentre} = victim.member;
		this.fleet.start(server, `10.2.0.${this.#nextServer++}`, {region, dataCentre}, 1);
	}

	startNewServer(): void {
		if (this.fleet.running.length < fleetSize) {
			const number = this.#nextServer++;
			this.fleet.start(`server-${number}`, `10.1.0.${number}`, pickOne(locations, this.random));
		}
	}

	freeze(): void {
		this.faults.freeze++;
		pickOne(this.fleet.running, this.random).freeze();
	}

	async thaw(): Promise<void> {
		for (const daemon of this.fleet.running) {
			if (daemon.isFrozen && this.random() < 0.7) {
				await daemon.thaw();
			}
		}
	}

	leave(): void {
		const leaver = pickOne(this.fleet.running, this.random);
		if (this.fleet.running.length <= minRunning || leaver.isFrozen) {
			return;
		}

		this.faults.leave++;
		leaver.announce('leaving');
		this.fleet.clock.schedule(3000, () => {
			if (leaver.isRunning) {
				leaver.announce('dead');
				leaver.kill();
			}
		});
	}

	#startReplacement(victim: SimDaemon): void {
		const {server, address, region, dataCentre} = victim.member;
		const name = this.random() < 0.5 ? server : `server-${this.#nextServer++}`;
		const skewMs = (this.random() - 0.5) * 20_000;
		this.fleet.start(name, address, {region, dataCentre}, skewMs);
	}
}
