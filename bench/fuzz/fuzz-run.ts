/**
 * One randomised run of the real gossip, spread and policy store over fakes, from one seed.
 */
import {type Policy} from '../../src/policy/schema.ts';
import {validatePolicy} from '../../src/policy/validate.ts';
import {type TableFault} from '../fakes/memory-table.ts';
import {SimFleet, createRandom, type SimPlace} from '../fakes/sim-fleet.ts';
import {type SimDaemon} from '../fakes/sim-daemon.ts';
import {Oracle} from './oracle.ts';

export const faultKinds = [
	'loss',
	'duplication',
	'delay',
	'partition',
	'platformCut',
	'kill',
	'replace',
	'replaceFrozen',
	'freeze',
	'leave',
	'tableOutage',
	'lostAnswer',
	'lateEffect',
	'race',
] as const;

export type FaultKind = (typeof faultKinds)[number];

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

const places: readonly SimPlace[] = [
	{region: 'qc-est', dataCentre: 'est-a'},
	{region: 'qc-est', dataCentre: 'est-b'},
	{region: 'qc-ouest', dataCentre: 'ouest-a'},
	{region: 'qc-ouest', dataCentre: 'ouest-b'},
];
const fleetSize = 16;
const minRunning = 10;
const stepsPerEpoch = 40;
/** Simulated time without faults after which all daemons must agree. */
const settleMs = 90_000;
const lossShares = [0.05, 0.2];

type Step = () => void | Promise<void>;

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
	readonly #faults = Object.fromEntries(faultKinds.map(kind => [kind, 0])) as Record<
		FaultKind,
		number
	>;

	#steps = 0;
	#applied = 0;
	#nextChange = 1;
	#nextServer = fleetSize;
	#tableFaults: TableFault[] = [];
	#isTableDown = false;

	private constructor(private readonly seed: number) {
		this.#fleet = SimFleet.create(seed);
		this.#random = createRandom(seed + 1);
		this.#oracle = Oracle.create(this.#fleet);
		this.#fleet.onAdopt = (daemon, version) => {
			this.#oracle.recordAdoption(daemon, version);
		};

		this.#fleet.table.pickFault = operation => this.#pickTableFault(operation);
	}

	/** Runs steps with faults, ends all faults, and checks that the daemons agree again. */
	async runEpoch(): Promise<void> {
		if (this.#fleet.daemons.length === 0) {
			await this.#fleet.startAll(fleetSize, places, 200);
		}

		for (let index = 0; index < stepsPerEpoch; index++) {
			await this.#runStep();
		}

		await this.#settle();
	}

	readReport(): FuzzReport {
		return {
			seed: this.seed,
			steps: this.#steps,
			simulatedSeconds: Math.round(this.#fleet.clock.nowMs / 1000),
			messages: this.#fleet.network.counts.sent,
			applied: this.#applied,
			faults: {
				...this.#faults,
				loss: this.#fleet.network.counts.lost,
				duplication: this.#fleet.network.counts.duplicated,
				delay: this.#fleet.network.counts.delayed,
			},
			violationCount: this.#oracle.count,
			violations: this.#oracle.violations,
		};
	}

	async #runStep(): Promise<void> {
		this.#steps++;
		const steps = this.#listSteps();
		await this.#pick(steps)();
		await this.#runChecked(200 + this.#random() * 4000);
	}

	#listSteps(): readonly Step[] {
		return [
			async () => this.#apply(),
			async () => this.#apply(),
			async () => this.#race(),
			() => {
				this.#kill();
			},
			() => {
				this.#replace();
			},
			() => {
				this.#replaceFrozen();
			},
			() => {
				this.#freeze();
			},
			async () => this.#thaw(),
			() => {
				this.#leave();
			},
			() => {
				this.#cut();
			},
			() => {
				this.#healSome();
			},
			() => {
				this.#setLinkFaults();
			},
			() => {
				this.#setTableFaults();
			},
			() => {
				this.#startFresh();
			},
			() => {
				this.#fleet.table.applyLateWrites();
			},
		];
	}

	async #runChecked(ms: number): Promise<void> {
		const endMs = this.#fleet.clock.nowMs + ms;
		while (this.#fleet.clock.nowMs < endMs) {
			await this.#fleet.runFor(Math.min(500, endMs - this.#fleet.clock.nowMs));
			this.#oracle.checkRecords();
			this.#stopSuperseded();
		}
	}

	async #settle(): Promise<void> {
		const {network, table} = this.#fleet;
		network.heal();
		this.#fleet.platformCuts.clear();
		Object.assign(network.faults, {lossShare: 0, duplicateShare: 0, jitterMs: 0});
		this.#tableFaults = [];
		this.#isTableDown = false;
		for (const daemon of this.#fleet.running) {
			await daemon.thaw();
		}

		table.applyLateWrites();
		await this.#runChecked(settleMs);
		this.#oracle.checkConvergence();
		await this.#oracle.checkHistory();
	}

	/** A daemon that learns of its replacement ends itself. */
	#stopSuperseded(): void {
		for (const daemon of this.#fleet.running) {
			if (daemon.isSuperseded) {
				daemon.kill();
			}
		}
	}

	async #apply(): Promise<void> {
		const head = await this.#fleet.store.readHead();
		if (head.isOk()) {
			await this.#applyFrom(head.value.version);
		}
	}

	/** Two operators start from the same version at the same time. */
	async #race(): Promise<void> {
		const head = await this.#fleet.store.readHead();
		if (head.isErr()) {
			return;
		}

		this.#faults.race++;
		const {version} = head.value;
		await Promise.all([this.#applyFrom(version), this.#applyFrom(version)]);
	}

	async #applyFrom(baseVersion: number): Promise<void> {
		const changeId = `change-${this.#nextChange++}`;
		const request = {document: this.#createDocument(), baseVersion, changeId, author: 'operator'};
		const answer = await this.#fleet.store.applyDocument(request);
		if (answer.isOk()) {
			this.#applied++;
			this.#oracle.recordChange({changeId, told: 'applied', version: answer.value.version});
			return;
		}

		this.#oracle.recordChange({changeId, told: answer.error.kind});
	}

	#createDocument(): Policy {
		const slotsPerServer = 1 + Math.floor(this.#random() * 1000);
		return validatePolicy({services: [{name: 'catalogue', slotsPerServer}]})._unsafeUnwrap();
	}

	#kill(): void {
		if (this.#fleet.running.length > minRunning) {
			this.#faults.kill++;
			this.#pick(this.#fleet.running).kill();
		}
	}

	/** Kills a daemon and starts another at its address, under the same server name or a new one. */
	#replace(): void {
		const victim = this.#pick(this.#fleet.running);
		victim.kill();
		this.#faults.replace++;
		this.#startInPlace(victim);
	}

	/** Replaces a frozen daemon, which later goes on without knowing. */
	#replaceFrozen(): void {
		const victim = this.#pick(this.#fleet.running);
		victim.freeze();
		this.#faults.replaceFrozen++;
		const {server, region, dataCentre} = victim.member;
		this.#fleet.start(server, `10.2.0.${this.#nextServer++}`, {region, dataCentre}, 1);
	}

	#startInPlace(victim: SimDaemon): void {
		const {server, address, region, dataCentre} = victim.member;
		const name = this.#random() < 0.5 ? server : `server-${this.#nextServer++}`;
		const skewMs = (this.#random() - 0.5) * 20_000;
		this.#fleet.start(name, address, {region, dataCentre}, skewMs);
	}

	#startFresh(): void {
		if (this.#fleet.running.length < fleetSize) {
			const number = this.#nextServer++;
			this.#fleet.start(`server-${number}`, `10.1.0.${number}`, this.#pick(places));
		}
	}

	#freeze(): void {
		this.#faults.freeze++;
		this.#pick(this.#fleet.running).freeze();
	}

	async #thaw(): Promise<void> {
		for (const daemon of this.#fleet.running) {
			if (daemon.isFrozen && this.#random() < 0.7) {
				await daemon.thaw();
			}
		}
	}

	#leave(): void {
		const leaver = this.#pick(this.#fleet.running);
		if (this.#fleet.running.length <= minRunning || leaver.isFrozen) {
			return;
		}

		this.#faults.leave++;
		leaver.announce('leaving');
		this.#fleet.clock.schedule(3000, () => {
			if (leaver.isRunning) {
				leaver.announce('dead');
				leaver.kill();
			}
		});
	}

	#cut(): void {
		const a = this.#pick(places).dataCentre;
		for (const {dataCentre} of places) {
			if (dataCentre !== a && this.#random() < 0.6) {
				this.#faults.partition++;
				this.#fleet.network.cut(a, dataCentre);
			}
		}

		if (this.#random() < 0.4) {
			this.#faults.platformCut++;
			this.#fleet.platformCuts.add(a);
		}
	}

	#healSome(): void {
		this.#fleet.network.heal();
		this.#fleet.platformCuts.clear();
		this.#isTableDown = false;
	}

	#setLinkFaults(): void {
		const {faults} = this.#fleet.network;
		faults.lossShare = this.#random() < 0.5 ? 0 : this.#pick(lossShares);
		faults.duplicateShare = this.#random() < 0.5 ? 0 : 0.1;
		faults.jitterMs = this.#random() < 0.5 ? 0 : 300;
	}

	#setTableFaults(): void {
		if (this.#random() < 0.3) {
			this.#isTableDown = true;
			return;
		}

		const kinds: TableFault[] = ['lostAnswer', 'lostRequest', 'lateEffect', 'unreachable', 'none'];
		for (let count = 0; count < 6; count++) {
			this.#tableFaults.push(this.#pick(kinds));
		}
	}

	#pickTableFault(operation: 'read' | 'write'): TableFault {
		if (this.#isTableDown) {
			this.#faults.tableOutage++;
			return 'unreachable';
		}

		const fault = operation === 'write' ? (this.#tableFaults.shift() ?? 'none') : 'none';
		this.#faults.lostAnswer += fault === 'lostAnswer' || fault === 'lostRequest' ? 1 : 0;
		this.#faults.lateEffect += fault === 'lateEffect' ? 1 : 0;
		return fault;
	}

	#pick<T>(items: readonly T[]): T {
		return items[Math.floor(this.#random() * items.length)]!;
	}
}
