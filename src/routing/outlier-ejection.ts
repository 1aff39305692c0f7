/**
 * Ejects servers that are slower or fail more than their peers, by our own measurement.
 */
import {RoutingInvariantError} from './errors.ts';
import {type ServerEntry} from './server-entry.ts';

const baseEjectionMs = 1000;
const maxEjectionMs = 20_000;
/** Time without ejection after which the next one is short again. */
const forgiveMs = 30_000;
const checkEveryMs = 50;
const minSamples = 5;
const minSlowAnswers = 3;
/** Least time between the sending of the first and the last slow answer; a stall is shorter. */
const minSlowSpanMs = 300;
const slowRatio = 3;
/** Difference in latency below which no server counts as slow; covers other data centres. */
const slowMarginMs = 5;
const failingShare = 0.5;
const peerFailingShare = 0.25;

/** A measured latency beside the mean of its kind of call. */
export type LatencySample = {readonly latencyMs: number; readonly usualMs: number};

/** Outlier ejection among the servers of one service that are about as far away from us. */
export class OutlierEjection {
	/**
	 * @example
	 * const ejection = OutlierEjection.create();
	 */
	static create(): OutlierEjection {
		return new OutlierEjection();
	}

	/** Median latency of the peers, as a multiple of what a call usually takes; 0 until measured. */
	median = 0;
	#medianFailureShare = 0;
	#checkedAtMs = Number.NEGATIVE_INFINITY;
	#scratch = new Float64Array(16);

	private constructor() {
		// Built by `create` alone.
	}

	/**
	 * Takes in whether an attempt was slow.
	 *
	 * @param sentAtMs - when the attempt was sent
	 * @example
	 * ejection.recordSpeed(entry, true, sentAtMs);
	 */
	recordSpeed(entry: ServerEntry, isSlow: boolean, sentAtMs: number): void {
		if (!isSlow) {
			entry.slowAnswers = 0;
			return;
		}

		if (entry.slowAnswers === 0) {
			entry.slowSinceMs = sentAtMs;
		}

		const isSpread = sentAtMs - entry.slowSinceMs >= minSlowSpanMs;
		if (entry.slowAnswers < minSlowAnswers - 1 || isSpread) {
			entry.slowAnswers += 1;
		}
	}

	/**
	 * Compares the servers with their median and ejects the outliers, the worst of them first.
	 *
	 * @param maxEjectedShare - largest share of the servers that may be ejected at once
	 * @example
	 * ejection.apply(entries, 0.3, nowMs);
	 */
	apply(entries: readonly ServerEntry[], maxEjectedShare: number, nowMs: number): void {
		if (nowMs - this.#checkedAtMs < checkEveryMs) {
			return;
		}

		this.#checkedAtMs = nowMs;
		this.#updateMedians(entries);
		this.releaseSurplus(entries, maxEjectedShare, nowMs);
		const maxEjected = computeMaxEjected(entries, maxEjectedShare);
		let room = maxEjected - countEjected(entries);
		while (room > 0) {
			const worst = this.#findWorst(entries);
			if (worst === undefined) {
				break;
			}

			ejectEntry(worst, nowMs);
			room -= 1;
		}

		assertBounded(entries, maxEjected);
	}

	/**
	 * Takes servers back while more are out than the share allows, for example because others left.
	 *
	 * @example
	 * ejection.releaseSurplus(entries, 0.3, nowMs);
	 */
	releaseSurplus(entries: readonly ServerEntry[], maxEjectedShare: number, nowMs: number): void {
		let surplus = countEjected(entries) - Math.max(0, computeMaxEjected(entries, maxEjectedShare));
		for (const entry of entries) {
			if (surplus <= 0) {
				return;
			}

			if (entry.isUsable && entry.ejection.kind !== 'in') {
				releaseEntry(entry, nowMs);
				surplus -= 1;
			}
		}
	}

	/**
	 * Ends the trial of a server that came back: in again by slow start, or out for longer.
	 *
	 * @param isGood - whether the first call was answered in time
	 * @example
	 * ejection.settleTrial(entry, true, nowMs);
	 */
	settleTrial(entry: ServerEntry, isGood: boolean, nowMs: number): void {
		if (isGood) {
			releaseEntry(entry, nowMs);
		} else {
			ejectEntry(entry, nowMs);
		}
	}

	/**
	 * Tells whether a latency is far above that of the peers.
	 *
	 * @example
	 * ejection.isSlow({latencyMs: 120, usualMs: 10});
	 */
	isSlow({latencyMs, usualMs}: LatencySample): boolean {
		return this.median > 0 && latencyMs > this.median * slowRatio * usualMs + slowMarginMs;
	}

	#updateMedians(entries: readonly ServerEntry[]): void {
		if (this.#scratch.length < entries.length) {
			this.#scratch = new Float64Array(entries.length * 2);
		}

		const values = this.#scratch;
		let count = 0;
		for (const entry of entries) {
			if (isMeasured(entry)) {
				values[count] = entry.latency.mean;
				count += 1;
			}
		}

		this.median = computeMedian(values, count);
		count = 0;
		for (const entry of entries) {
			if (entry.isUsable) {
				values[count] = entry.failureShare;
				count += 1;
			}
		}

		this.#medianFailureShare = computeMedian(values, count);
	}

	/** Finds the server that is furthest above its peers, if any is an outlier. */
	#findWorst(entries: readonly ServerEntry[]): ServerEntry | undefined {
		let worst: ServerEntry | undefined;
		let worstScore = 0;
		for (const entry of entries) {
			if (!entry.isUsable || entry.ejection.kind !== 'in') {
				continue;
			}

			const score = this.#computeScore(entry);
			if (score > worstScore) {
				worst = entry;
				worstScore = score;
			}
		}

		return worst;
	}

	/** Computes how far a server is above its peers; 0 for one that is no outlier. */
	#computeScore(entry: ServerEntry): number {
		if (entry.failureShare > failingShare && this.#medianFailureShare < peerFailingShare) {
			return Number.MAX_VALUE;
		}

		return entry.slowAnswers >= minSlowAnswers ? entry.latency.mean : 0;
	}
}

function isMeasured(entry: ServerEntry): boolean {
	return entry.isUsable && entry.latency.samples >= minSamples;
}

/** Computes the lower median of the first `count` values, and sorts them in place. */
function computeMedian(values: Float64Array, count: number): number {
	if (count === 0) {
		return 0;
	}

	const filled = values.subarray(0, count);
	filled.sort();
	return filled[Math.floor((count - 1) / 2)]!;
}

/**
 * Counts the servers that are out or on trial; the share bounds both.
 *
 * @example
 * countEjected(group.home);
 */
export function countEjected(entries: readonly ServerEntry[]): number {
	let count = 0;
	for (const entry of entries) {
		if (entry.isUsable && entry.ejection.kind !== 'in') {
			count += 1;
		}
	}

	return count;
}

/** Computes how many servers may be out at once: a share, and never the last one. */
function computeMaxEjected(entries: readonly ServerEntry[], share: number): number {
	let usable = 0;
	for (const entry of entries) {
		usable += entry.isUsable ? 1 : 0;
	}

	return Math.min(Math.floor(usable * share), usable - 1);
}

/** Takes a server back in by slow start; what was measured before no longer counts. */
function releaseEntry(entry: ServerEntry, nowMs: number): void {
	entry.ejection = {kind: 'in'};
	entry.latency.reset();
	entry.failureShare = 0;
	entry.slowAnswers = 0;
	entry.slowStart.start(nowMs);
}

/** Takes a server out for a time that doubles with each ejection in a row. */
function ejectEntry(entry: ServerEntry, nowMs: number): void {
	if (nowMs - entry.ejectedUntilMs > forgiveMs) {
		entry.ejections = 0;
	}

	const durationMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** entry.ejections);
	entry.ejections += 1;
	entry.ejectedUntilMs = nowMs + durationMs;
	entry.ejection = {kind: 'out', untilMs: entry.ejectedUntilMs};
}

function assertBounded(entries: readonly ServerEntry[], maxEjected: number): void {
	const ejected = countEjected(entries);
	if (ejected > Math.max(0, maxEjected)) {
		throw RoutingInvariantError.create(`${ejected} servers are ejected, at most ${maxEjected} may`);
	}
}
