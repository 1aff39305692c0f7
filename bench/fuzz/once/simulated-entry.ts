/**
 * The entry of a simulated daemon, with the real executor of once calls.
 */
import {okAsync} from 'neverthrow';
import {NonceRegistry} from '../../../src/once/nonce-registry.ts';
import {OnceCallExecutor} from '../../../src/once/once-call-executor.ts';
import {type ObjectStore} from '../../../src/store/types.ts';
import {SimulatedTable} from './simulated-table.ts';
import {maxNonces} from './types.ts';
import {type OnceSimulation} from './once-simulation.ts';

const limits = {keepSeconds: 3600, maxTableAnswerBytes: 8, maxAnswerBytes: 1000};

/** One daemon instance that accepts calls; a restart creates a new instance. */
export class SimulatedEntry {
	/**
	 * @example
	 * const entry = SimulatedEntry.create(simulation, 'a', 0);
	 */
	static create(simulation: OnceSimulation, name: string, instance: number): SimulatedEntry {
		return new SimulatedEntry(simulation, name, `${name}.${instance}`);
	}

	readonly executor: OnceCallExecutor;
	isFrozen = false;

	private constructor(
		simulation: OnceSimulation,
		readonly name: string,
		readonly instanceId: string,
	) {
		const store: ObjectStore = {
			put(key, body) {
				simulation.objects.set(key, body);
				return okAsync(undefined);
			},
			get: key => okAsync(simulation.objects.get(key)),
			list: () => okAsync([]),
		};
		this.executor = OnceCallExecutor.create(
			{instanceId, address: name, peerPort: 1},
			{
				table: SimulatedTable.create(simulation, instanceId),
				objects: store,
				holderClient: {
					killNonce: async (holder, nonce) =>
						simulation.killNonceAtHolder(instanceId, holder, nonce),
				},
				readNowMs: () => simulation.nowMs,
				readRandom: () => simulation.createNonce(),
				wait: async () => simulation.wait(instanceId),
			},
			limits,
			NonceRegistry.create(maxNonces),
		);
	}
}
