/**
 * Faults of real processes: killed, frozen and drained daemons, truncated answers and platform failures.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {request} from 'undici';
import {type RunningServer, type TestBed} from '../harness/test-bed.ts';
import {type SeededRandom} from './seeded-random.ts';

const faultKinds = [
	'kill',
	'kill',
	'freeze',
	'freeze',
	'drain',
	'platform-fail',
	'platform-stall',
	'platform-cut',
	'platform-loseAnswer',
	'platform-lateEffect',
	'truncate',
] as const;

export type ProcessFault = (typeof faultKinds)[number];

const minFreezeMs = 200;
const maxFreezeMs = 3000;
const minFaultMs = 300;
const maxFaultMs = 2000;
const lateEffectDelayMs = 1500;

/** Injects one fault at a time and counts the faults by kind. */
export class ProcessFaults {
	/**
	 * @example
	 * const faults = ProcessFaults.create(bed, random);
	 */
	static create(bed: TestBed, random: SeededRandom): ProcessFaults {
		return new ProcessFaults(bed, random);
	}

	readonly counts: Partial<Record<ProcessFault, number>> = {};
	/** Daemons that did not exit with 0 after SIGTERM. */
	badExits = 0;
	readonly #bed: TestBed;
	readonly #random: SeededRandom;

	private constructor(bed: TestBed, random: SeededRandom) {
		this.#bed = bed;
		this.#random = random;
	}

	/** Injects one random fault and ends it before returning. */
	async runStep(): Promise<void> {
		const fault = this.#random.pickElement(faultKinds);
		this.counts[fault] = (this.counts[fault] ?? 0) + 1;
		const server = this.#random.pickElement(this.#bed.servers);
		switch (fault) {
			case 'kill': {
				server.daemon.kill('SIGKILL');
				await server.daemon.waitForExit();
				await this.#bed.restartDaemon(server);
				return;
			}

			case 'freeze': {
				await this.#freeze(server);
				return;
			}

			case 'drain': {
				server.daemon.kill('SIGTERM');
				this.badExits += (await server.daemon.waitForExit()) === 0 ? 0 : 1;
				await this.#bed.restartDaemon(server);
				return;
			}

			case 'truncate': {
				await this.#bed.setBehaviour(server, {truncateShare: 0.5});
				await wait(this.#random.pickInteger(minFaultMs, maxFaultMs));
				await this.#bed.setBehaviour(server, {truncateShare: 0});
				return;
			}

			case 'platform-fail':
			case 'platform-stall':
			case 'platform-cut':
			case 'platform-loseAnswer':
			case 'platform-lateEffect': {
				await this.#injectPlatformFault(fault.slice('platform-'.length));
			}
		}
	}

	async #freeze(server: RunningServer): Promise<void> {
		server.daemon.kill('SIGSTOP');
		await wait(this.#random.pickInteger(minFreezeMs, maxFreezeMs));
		server.daemon.kill('SIGCONT');
	}

	async #injectPlatformFault(kind: string): Promise<void> {
		const share = this.#random.pickElement([0.3, 1]);
		await this.#setPlatformFaults({
			kind,
			share,
			seed: this.#random.pickInteger(1, 1_000_000),
			delayMs: lateEffectDelayMs,
			operations: kind === 'lateEffect' ? ['PutItem', 'DeleteItem', 'PutObject'] : [],
		});
		await wait(this.#random.pickInteger(minFaultMs, maxFaultMs));
		await this.#setPlatformFaults({kind: 'none'});
	}

	async #setPlatformFaults(plan: Record<string, unknown>): Promise<void> {
		const answer = await request(`${this.#bed.platformUrl}/faults`, {
			method: 'POST',
			body: JSON.stringify(plan),
		});
		await answer.body.dump();
	}
}
