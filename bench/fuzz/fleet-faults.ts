/**
 * Faults of daemons in a randomised run: they are killed, replaced or frozen, or leave.
 */
import {type SimDaemon} from '../fakes/sim-daemon.ts';
import {type SimFleet, type SimLocation} from '../fakes/sim-fleet.ts';
import {type FaultCounts, pickElement} from './fault-kinds.ts';

export const locations: readonly SimLocation[] = [
	{region: 'qc-est', dataCentre: 'est-a'},
	{region: 'qc-est', dataCentre: 'est-b'},
	{region: 'qc-ouest', dataCentre: 'ouest-a'},
	{region: 'qc-ouest', dataCentre: 'ouest-b'},
];
export const fleetSize = 16;
const minRunningDaemons = 10;

export class FleetFaults {
	/**
	 * @example
	 * const faults = FleetFaults.create(fleet, counts, random);
	 * faults.kill();
	 */
	static create(fleet: SimFleet, counts: FaultCounts, random: () => number): FleetFaults {
		return new FleetFaults(fleet, counts, random);
	}

	#nextServerNumber = fleetSize;

	private constructor(
		private readonly fleet: SimFleet,
		private readonly counts: FaultCounts,
		private readonly random: () => number,
	) {}

	kill(): void {
		if (this.fleet.running.length > minRunningDaemons) {
			this.counts.kill++;
			pickElement(this.fleet.running, this.random).kill();
		}
	}

	/** Kills a daemon and starts another at its address, under the same server name or a new one. */
	replace(): void {
		const victim = pickElement(this.fleet.running, this.random);
		victim.kill();
		this.counts.replace++;
		this.#startReplacement(victim);
	}

	/** Freezes a daemon and starts its replacement; once thawed, the old one runs on beside the new one. */
	replaceFrozen(): void {
		const victim = pickElement(this.fleet.running, this.random);
		victim.freeze();
		this.counts.replaceFrozen++;
		const {server, region, dataCentre} = victim.member;
		this.fleet.start(server, `10.2.0.${this.#nextServerNumber++}`, {region, dataCentre}, 1);
	}

	startNewServer(): void {
		if (this.fleet.running.length < fleetSize) {
			const number = this.#nextServerNumber++;
			this.fleet.start(`server-${number}`, `10.1.0.${number}`, pickElement(locations, this.random));
		}
	}

	freeze(): void {
		this.counts.freeze++;
		pickElement(this.fleet.running, this.random).freeze();
	}

	/** Thaws some of the frozen daemons. */
	async thaw(): Promise<void> {
		for (const daemon of this.fleet.running) {
			if (daemon.isFrozen && this.random() < 0.7) {
				await daemon.thaw();
			}
		}
	}

	/** Lets a daemon leave gracefully; it stops 3 seconds after its announcement. */
	leave(): void {
		const leaver = pickElement(this.fleet.running, this.random);
		if (this.fleet.running.length <= minRunningDaemons || leaver.isFrozen) {
			return;
		}

		this.counts.leave++;
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
		const name = this.random() < 0.5 ? server : `server-${this.#nextServerNumber++}`;
		const skewMs = (this.random() - 0.5) * 20_000;
		this.fleet.start(name, address, {region, dataCentre}, skewMs);
	}
}
