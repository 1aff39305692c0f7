/**
 * Two simulated guards with their backend servers, and the connections from entries to them.
 */
import {Buffer} from 'node:buffer';
import {NonceRegistry} from '../../../src/once/nonce-registry.ts';
import {type SendOutcome} from '../../../src/once/types.ts';
import {type SimulatedEntry} from './simulated-entry.ts';
import {
	createAnswerBody,
	formatRequestKey,
	maxNonces,
	networkOwner,
	stepMs,
	type Attempt,
} from './types.ts';
import {type OnceSimulation} from './once-simulation.ts';

/** Forwards once calls through real nonce registries; connections can be cut and guards restarted. */
export class SimulatedGuards {
	/**
	 * @example
	 * const guards = SimulatedGuards.create(simulation);
	 * const outcome = await guards.send(entry, attempt, nonce);
	 */
	static create(simulation: OnceSimulation): SimulatedGuards {
		return new SimulatedGuards(simulation);
	}

	#connections: Array<() => void> = [];
	readonly #guards = [NonceRegistry.create(maxNonces), NonceRegistry.create(maxNonces)];

	private constructor(private readonly simulation: OnceSimulation) {}

	/**
	 * Cuts the connections of all calls.
	 *
	 * @returns number of connections cut
	 */
	cutConnections(): number {
		const count = this.#connections.length;
		for (const cut of this.#connections) {
			cut();
		}

		this.#connections = [];
		return count;
	}

	/** Replaces a guard by a new instance; calls in progress at the old one are lost. */
	restart(index: number): void {
		this.#guards[index] = NonceRegistry.create(maxNonces);
	}

	/** Tries the guards in turn until one may have run the call or the call is cancelled. */
	async send(entry: SimulatedEntry, attempt: Attempt, nonce: string): Promise<SendOutcome> {
		this.simulation.sentKeys.add(formatRequestKey(attempt.request));
		let outcome: SendOutcome = {kind: 'notRun', reason: 'no-server'};
		for (const index of this.#guards.keys()) {
			outcome = await this.#sendToGuard(entry, attempt, nonce, index);
			if (outcome.kind !== 'notRun' || outcome.reason === 'cancelled') {
				return outcome;
			}
		}

		return outcome;
	}

	/** Sends a call to one guard; after a cut connection or a restart, asks it to kill the nonce. */
	async #sendToGuard(
		entry: SimulatedEntry,
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
		const outcome = await Promise.race([this.#forward(attempt, nonce, guard), cut]);
		await this.simulation.wait(entry.instanceId);
		return outcome ?? this.#killNonce(entry, nonce, guard);
	}

	/** Forwards a call through a guard to its backend server; undefined when the guard restarts meanwhile. */
	async #forward(
		attempt: Attempt,
		nonce: string,
		guard: NonceRegistry,
	): Promise<SendOutcome | undefined> {
		await this.simulation.wait(networkOwner);
		if (!this.#guards.includes(guard)) {
			return undefined;
		}

		if (this.simulation.isShedding ?? (this.simulation.nowMs / stepMs) % 4 < 1) {
			return {kind: 'notRun', reason: 'overload'};
		}

		if (!guard.startSend(nonce)) {
			return guard.isKilled(nonce)
				? {kind: 'notRun', reason: 'cancelled'}
				: {kind: 'unknown', reason: 'nonce-used'};
		}

		attempt.runCount++;
		const requestKey = formatRequestKey(attempt.request);
		const run = (this.simulation.runs.get(requestKey) ?? 0) + 1;
		this.simulation.runs.set(requestKey, run);
		await this.simulation.wait(networkOwner);
		guard.finishSend(nonce);
		if (!this.#guards.includes(guard)) {
			return undefined;
		}

		const body = Buffer.from(createAnswerBody(attempt.request, run));
		return {kind: 'answered', record: {kind: 'kept', answer: {status: 200, headers: [], body}}};
	}

	/** Kills a nonce after a lost connection; a restarted guard doesn't know whether the call was sent. */
	async #killNonce(
		entry: SimulatedEntry,
		nonce: string,
		guard: NonceRegistry,
	): Promise<SendOutcome> {
		await this.simulation.wait(networkOwner);
		const verdict = this.#guards.includes(guard) ? guard.kill(nonce) : 'unreachable';
		await this.simulation.wait(entry.instanceId);
		return verdict === 'neverSent'
			? {kind: 'notRun', reason: 'connect'}
			: {kind: 'unknown', reason: 'connection-lost'};
	}
}
