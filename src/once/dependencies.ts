/**
 * Dependencies of once calls that the daemon provides.
 */
import {type ObjectStore, type Table} from '../store/types.ts';
import {type HolderClient} from './types.ts';

export type OnceDependencies = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly holderClient: HolderClient;
	/** Returns the Unix time in milliseconds. */
	readonly readNowMs: () => number;
	/** Returns 16 to 32 random hexadecimal digits. */
	readonly readRandom: () => string;
	/** Waits before a failed settlement write is retried. */
	readonly wait: (delayMs: number) => Promise<void>;
};

const msPerSecond = 1000;

/**
 * Computes the Unix time in seconds after which a row written now may be deleted.
 *
 * @example
 * computeExpirySeconds(Date.now(), policy.once.keepSeconds);
 */
export function computeExpirySeconds(nowMs: number, keepSeconds: number): number {
	return Math.floor(nowMs / msPerSecond) + keepSeconds;
}
