/**
 * What the ledger of once calls needs from its daemon.
 */
import {type ObjectStore, type Table} from '../store/types.ts';
import {type HolderPort} from './types.ts';

export type OncePorts = {
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly holders: HolderPort;
	/** Wall time in milliseconds since 1970. */
	readonly readNowMs: () => number;
	/** 16 to 32 random hexadecimal digits. */
	readonly readRandom: () => string;
	/** Waits before a settlement is written again. */
	readonly wait: (delayMs: number) => Promise<void>;
};

const msPerSecond = 1000;

/**
 * Computes when a row written now may be removed, in seconds since 1970.
 *
 * @example
 * computeExpirySeconds(Date.now(), policy.once.keepSeconds);
 */
export function computeExpirySeconds(nowMs: number, keepSeconds: number): number {
	return Math.floor(nowMs / msPerSecond) + keepSeconds;
}
