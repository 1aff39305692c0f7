/**
 * One randomised run of the real gossip, policy sync and policy store over fakes, from one seed.
 */
import {type Policy} from '../../src/policy/schema.ts';
import {validatePolicy} from '../../src/policy/validate.ts';
import {SimFleet, createRandom} from '../fakes/sim-fleet.ts';
import {createFaultCounts, type FaultKind, pickElement} from './fault-kinds.ts';
import {fleetSize, FleetFaults, locations} from './fleet-faults.ts';
import {Oracle} from './oracle.ts';
import {TableFaults} from './table-faults.ts';

export type FuzzReport = {
	readonly seed: number;
	readonly steps: number;
	readonly simulatedSeconds: number;
	readonly messages: number;
	readonly applied: number;
	readonly faults: Readonly<Record<FaultKind, number>>;
	readonly violationCount: number;
	readonly violations: readonly string[];
};

const stepsPerEpoch = 40;
/** Simulated time after the end of all faults within which the daemons must converge. */
const convergenceTimeoutMs = 90_000;
const lossProbabilities = [0.05, 0.2];

type RunStep = () => void | Promise<void>;

export class FuzzRun {
	/**
	 * @example
	 * const run = FuzzRun.create(7);
	 * await run.runEpoch();
	 */
	static create(seed: number): FuzzRun {
		return new FuzzRun(seed);
	}

	readonly #fleet: SimFleet;
	readonly #oracle: Oracle;
	readonly #random: () => number;
	readonly #faultCounts = createFaultCounts();
	#stepCount = 0;
	#appliedCount = 0;
	#nextChangeNumber = 1;
	readonly #fleetFaults: FleetFaults;
	readonly #tableFaults: TableFaults;

	private constructor(private readonly seed: number) {
		this.#fleet = SimFleet.create(seed);
		this.#random = createRandom(seed + 1);
		this.#fleetFaults = FleetFaults.create(this.#fleet, this.#faultCounts, this.#random);
		this.#tableFaults = TableFaults.create(this.#faultCounts, this.#random);
		this.#oracle = Oracle.create(this.#fleet);
		this.#fleet.onAdopt = (daemon, version) => {
			this.#oracle.recordAdoption(daemon, version);
		};

		this.#fleet.table.pickFault = operation => this.#tableFaults.pickFault(operation);
	}

	/** Runs steps with faults, then ends all faults and checks that the daemons converge. */
	async runEpoch(): Promise<void> {
		if (this.#fleet.daemons.length === 0) {
			await this.#fleet.startAll(fleetSize, locations, 200);
		}

		for (let index = 0; index < stepsPerEpoch; index++) {
			await this.#runStep();
		}

		await this.#endFaultsAndCheck();
	}

	readReport(): FuzzReport {
		return {
			seed: this.seed,
			steps: this.#stepCount,
			simulatedSeconds: Math.round(this.#fleet.clock.nowMs / 1000),
			messages: this.#fleet.network.counts.sent,
			applied: this.#appliedCount,
			faults: {
				...this.#faultCounts,
				loss: this.#fleet.network.counts.lost,
				duplication: this.#fleet.network.counts.duplicated,
				delay: this.#fleet.network.counts.delayed,
			},
			violationCount: this.#oracle.count,
			violations: this.#oracle.violations,
		};
	}

	async #runStep(): Promise<void> {
		this.#stepCount++;
		const steps = this.#listSteps();
		await pickElement(steps, this.#random)();
		await this.#advanceWithChecks(200 + this.#random() * 4000);
	}

	#listSteps(): readonly RunStep[] {
		return [
			async () => this.#applyRandomPolicy(),
			async () => this.#applyRandomPolicy(),
			async () => this.#applyConcurrently(),
			() => {
				this.#fleetFaults.kill();
			},
			() => {
				this.#fleetFaults.replace();
			},
			() => {
				this.#fleetFaults.replaceFrozen();
			},
			() => {
				this.#fleetFaults.freeze();
			},
			async () => this.#fleetFaults.thaw(),
			() => {
				this.#fleetFaults.leave();
			},
			() => {
				this.#partition();
			},
			() => {
				this.#endConnectivityFaults();
			},
			() => {
				this.#setNetworkFaults();
			},
			() => {
				this.#tableFaults.planFaults();
			},
			() => {
				this.#fleetFaults.startNewServer();
			},
			() => {
				this.#fleet.table.applyLateWrites();
			},
		];
	}

	async #advanceWithChecks(ms: number): Promise<void> {
		const endMs = this.#fleet.clock.nowMs + ms;
		while (this.#fleet.clock.nowMs < endMs) {
			await this.#fleet.runFor(Math.min(500, endMs - this.#fleet.clock.nowMs));
			this.#oracle.checkRecords();
			this.#stopSuperseded();
		}
	}

	async #endFaultsAndCheck(): Promise<void> {
		const {network, table} = this.#fleet;
		network.heal();
		this.#fleet.tableUnreachableFrom.clear();
		Object.assign(network.faults, {lossShare: 0, duplicateShare: 0, jitterMs: 0});
		this.#tableFaults.clear();
		for (const daemon of this.#fleet.running) {
			await daemon.thaw();
		}

		table.applyLateWrites();
		await this.#advanceWithChecks(convergenceTimeoutMs);
		this.#oracle.checkConvergence();
		await this.#oracle.checkHistory();
	}

	/** Stops daemons that have detected their replacement, as the real process stops itself. */
	#stopSuperseded(): void {
		for (const daemon of this.#fleet.running) {
			if (daemon.isSuperseded) {
				daemon.kill();
			}
		}
	}

	async #applyRandomPolicy(): Promise<void> {
		const head = await this.#fleet.store.readHead();
		if (head.isOk()) {
			await this.#applyFrom(head.value.version);
		}
	}

	/** Applies two policies concurrently, as two operators who start from the same version. */
	async #applyConcurrently(): Promise<void> {
		const head = await this.#fleet.store.readHead();
		if (head.isErr()) {
			return;
		}

		this.#faultCounts.race++;
		const {version} = head.value;
		await Promise.all([this.#applyFrom(version), this.#applyFrom(version)]);
	}

	async #applyFrom(baseVersion: number): Promise<void> {
		const changeId = `change-${this.#nextChangeNumber++}`;
		const request = {document: this.#createDocument(), baseVersion, changeId, author: 'operator'};
		const answer = await this.#fleet.store.applyDocument(request);
		if (answer.isOk()) {
			this.#appliedCount++;
			this.#oracle.recordChange({changeId, outcome: 'applied', version: answer.value.version});
			return;
		}

		this.#oracle.recordChange({changeId, outcome: answer.error.kind});
	}

	#createDocument(): Policy {
		const slotsPerServer = 1 + Math.floor(this.#random() * 1000);
		return validatePolicy({services: [{name: 'catalogue', slotsPerServer}]})._unsafeUnwrap();
	}

	#partition(): void {
		const isolated = pickElement(locations, this.#random).dataCentre;
		for (const {dataCentre} of locations) {
			if (dataCentre !== isolated && this.#random() < 0.6) {
				this.#faultCounts.partition++;
				this.#fleet.network.cut(isolated, dataCentre);
			}
		}

		if (this.#random() < 0.4) {
			this.#faultCounts.platformCut++;
			this.#fleet.tableUnreachableFrom.add(isolated);
		}
	}

	#endConnectivityFaults(): void {
		this.#fleet.network.heal();
		this.#fleet.tableUnreachableFrom.clear();
		this.#tableFaults.endOutage();
	}

	#setNetworkFaults(): void {
		const {faults} = this.#fleet.network;
		faults.lossShare = this.#random() < 0.5 ? 0 : pickElement(lossProbabilities, this.#random);
		faults.duplicateShare = this.#random() < 0.5 ? 0 : 0.1;
		faults.jitterMs = this.#random() < 0.5 ? 0 : 300;
	}
}
