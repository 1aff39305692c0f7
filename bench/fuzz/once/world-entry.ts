/**
 * A daemon of the world, with the real ledger of once calls.
 */
import {okAsync} from 'neverthrow';
import {NonceRegistry} from '../../../src/once/nonce-registry.ts';
import {OnceCallExecutor} from '../../../src/once/once-call-executor.ts';
import {type ObjectStore} from '../../../src/store/types.ts';
import {maxNonces} from './types.ts';
import {WorldTable} from './world-table.ts';
import {type World} from './world.ts';

const limits = {keepSeconds: 3600, maxTableAnswerBytes: 8, maxAnswerBytes: 1000};

/** One daemon that takes calls; a restart makes a new instance. */
export class WorldEntry {
	/**
	 * @example
	 * const entry = WorldEntry.create(world, 'a', 0);
	 */
	static create(world: World, name: string, instance: number): WorldEntry {
		return new WorldEntry(world, name, `${name}.${instance}`);
	}

	readonly ledger: OnceCallExecutor;
	frozen = false;

	private constructor(
		world: World,
		readonly name: string,
		readonly instanceId: string,
	) {
		const store: ObjectStore = {
			put(key, body) {
				world.objects.set(key, body);
				return okAsync(undefined);
			},
			get: key => okAsync(world.objects.get(key)),
			list: () => okAsync([]),
		};
		this.ledger = OnceCallExecutor.create(
			{instanceId, address: name, peerPort: 1},
			{
				table: WorldTable.create(world, instanceId),
				objects: store,
				holderClient: {
					killNonce: async (holder, nonce) => world.probeHolder(instanceId, holder, nonce),
				},
				readNowMs: () => world.nowMs,
				readRandom: () => world.createRandom(),
				wait: async () => world.wait(instanceId),
			},
			limits,
			NonceRegistry.create(maxNonces),
		);
	}
}
