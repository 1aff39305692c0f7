/**
 * Connections to the guards of peers.
 */
import {createPool, type HttpPool} from '../../http/pool.ts';
import {type Member} from '../../membership/types.ts';

const idlePoolMs = 60_000;
const connectTimeoutMs = 1000;

type PoolEntry = {readonly pool: HttpPool; usedAtMs: number};

/** One pool for each peer that calls go to; unused pools are closed. */
export class PeerPools {
	/**
	 * @example
	 * const pools = PeerPools.create();
	 */
	static create(): PeerPools {
		return new PeerPools();
	}

	readonly #pools = new Map<string, PoolEntry>();

	private constructor() {
		// Made by create.
	}

	/** Finds or opens the pool of a member's peer port. */
	open(member: Pick<Member, 'address' | 'peerPort'>, nowMs: number): HttpPool {
		const origin = `http://${member.address}:${member.peerPort}`;
		const found = this.#pools.get(origin);
		if (found !== undefined) {
			found.usedAtMs = nowMs;
			return found.pool;
		}

		const pool = createPool(origin, {
			pipelining: 1,
			connectTimeout: connectTimeoutMs,
			keepAliveTimeout: 15_000,
			keepAliveMaxTimeout: 15_000,
		});
		this.#pools.set(origin, {pool, usedAtMs: nowMs});
		return pool;
	}

	/** Closes the pools that no call has used for a while; calls in flight end first. */
	prune(nowMs: number): void {
		for (const [origin, entry] of this.#pools) {
			if (nowMs - entry.usedAtMs >= idlePoolMs) {
				this.#pools.delete(origin);
				void entry.pool.close();
			}
		}
	}

	async close(): Promise<void> {
		const pools = [...this.#pools.values()];
		this.#pools.clear();
		await Promise.all(pools.map(async entry => entry.pool.close()));
	}
}
