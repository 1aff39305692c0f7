/**
 * The ways from entries to two guards and their backend servers, whose connections may be cut.
 */
import {Buffer} from 'node:buffer';
import {NonceRegistry} from '../../../src/once/nonce-registry.ts';
import {type SendOutcome} from '../../../src/once/types.ts';
import {createAnswer, formatRequest, maxNonces, network, stepMs, type Attempt} from './types.ts';
import {type WorldEntry} from './world-entry.ts';
import {type World} from './world.ts';

export class GuardWays {
	/**
	 * @example
	 * const guards = GuardWays.create(world);
	 * const end = await guards.send(entry, attempt, nonce);
	 */
	static create(world: World): GuardWays {
		return new GuardWays(world);
	}

	#connections: Array<() => void> = [];
	readonly #guards = [NonceRegistry.create(maxNonces), NonceRegistry.create(maxNonces)];

	private constructor(private readonly world: World) {}

	/**
	 * Cuts the connections of all calls.
	 *
	 * @returns how many there were
	 */
	cutConnections(): number {
		const count = this.#connections.length;
		for (const cut of this.#connections) {
			cut();
		}

		this.#connections = [];
		return count;
	}

	/** Replaces a guard by a new instance; calls that wait there are lost. */
	restart(index: number): void {
		this.#guards[index] = NonceRegistry.create(maxNonces);
	}

	/** Sends to one guard after the other, as long as they prove that they did not run the call. */
	async send(entry: WorldEntry, attempt: Attempt, nonce: string): Promise<SendOutcome> {
		this.world.sentKeys.add(formatRequest(attempt.request));
		let end: SendOutcome = {kind: 'notRun', reason: 'no-server'};
		for (const index of this.#guards.keys()) {
			end = await this.#sendToGuard(entry, attempt, nonce, index);
			if (end.kind !== 'notRun' || end.reason === 'cancelled') {
				return end;
			}
		}

		return end;
	}

	/** The way from an entry to a guard, whose connection may be cut. */
	async #sendToGuard(
		entry: WorldEntry,
		attempt: Attempt,
		nonce: string,
		index: number,
	): Promise<SendOutcome> {
		const guard = this.#guards[index]!;
		const cut = new Promise<undefined>(resolve => {
			this.#connections.push(() => {
				resolve(undefined);
			});
		});
		const end = await Promise.race([this.#pass(attempt, nonce, guard), cut]);
		await this.world.wait(entry.instanceId);
		return end ?? this.#kill(entry, nonce, guard);
	}

	/** The way through a guard to the backend server and back; undefined when the guard restarts. */
	async #pass(
		attempt: Attempt,
		nonce: string,
		guard: NonceRegistry,
	): Promise<SendOutcome | undefined> {
		await this.world.wait(network);
		if (!this.#guards.includes(guard)) {
			return undefined;
		}

		if (this.world.isShedding ?? (this.world.nowMs / stepMs) % 4 < 1) {
			return {kind: 'notRun', reason: 'overload'};
		}

		if (!guard.startSend(nonce)) {
			return guard.isKilled(nonce)
				? {kind: 'notRun', reason: 'cancelled'}
				: {kind: 'unknown', reason: 'nonce-used'};
		}

		attempt.runs++;
		const name = formatRequest(attempt.request);
		const run = (this.world.runs.get(name) ?? 0) + 1;
		this.world.runs.set(name, run);
		await this.world.wait(network);
		guard.finishSend(nonce);
		if (!this.#guards.includes(guard)) {
			return undefined;
		}

		const body = Buffer.from(createAnswer(attempt.request, run));
		return {kind: 'answered', record: {kind: 'kept', answer: {status: 200, headers: [], body}}};
	}

	/** Asks a guard after a lost connection; one that restarted can't prove anything. */
	async #kill(entry: WorldEntry, nonce: string, guard: NonceRegistry): Promise<SendOutcome> {
		await this.world.wait(network);
		const verdict = this.#guards.includes(guard) ? guard.kill(nonce) : 'unreachable';
		await this.world.wait(entry.instanceId);
		return verdict === 'neverSent'
			? {kind: 'notRun', reason: 'connect'}
			: {kind: 'unknown', reason: 'connection-lost'};
	}
}
