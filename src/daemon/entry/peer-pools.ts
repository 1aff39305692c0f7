/**
 * HTTP connection pools to the peer ports of other daemons.
 */
import {createPool, type HttpPool} from '../../http/pool.ts';
import {type Member} from '../../membership/types.ts';

const poolIdleTimeoutMs = 60_000;
const connectTimeoutMs = 1000;

type PoolEntry = {readonly pool: HttpPool; usedAtMs: number};

/** Keeps one connection pool for each peer; pools that are not used are closed. */
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
		// Use create.
	}

	/** Returns the pool for a member's peer port; creates it on first use. */
	getPool(member: Pick<Member, 'address' | 'peerPort'>, nowMs: number): HttpPool {
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

	/** Closes the pools that have not been used within the idle timeout; requests in flight finish first. */
	prune(nowMs: number): void {
		for (const [origin, entry] of this.#pools) {
			if (nowMs - entry.usedAtMs >= poolIdleTimeoutMs) {
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
