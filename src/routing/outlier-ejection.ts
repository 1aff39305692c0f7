/**
 * Outlier ejection: temporarily excludes servers that are slower or fail more often than their
 * peers, as measured by this daemon.
 */
import {RoutingInvariantError} from './errors.ts';
import {type ServerEntry} from './server-entry.ts';

const baseEjectionMs = 1000;
const maxEjectionMs = 20_000;
/** Time since the end of the latest ejection after which the next has the base duration again. */
const ejectionResetMs = 30_000;
const checkIntervalMs = 50;
/** Number of samples required for a server to count in the median latency. */
const minSamples = 5;
const minSlowAnswers = 3;
/** Minimum time between the sending of the first and the last slow attempt; stalls are shorter. */
const minSlowSpanMs = 300;
/** Multiple of the peers' median above which an answer is slow. */
const slowLatencyRatio = 3;
/** Latency above the peers' that is tolerated; covers the distance to other data centres. */
const slowLatencyMarginMs = 5;
/** Failure share above which a server is an outlier, unless its peers fail as well. */
const outlierFailureShare = 0.5;
/** Median failure share of the peers below which failures are attributed to the single server. */
const maxPeerFailureShare = 0.25;

/** A measured latency and the mean latency of its kind of call. */
export type LatencySample = {readonly latencyMs: number; readonly meanMs: number};

/** Outlier ejection among the servers of one service at a similar distance from this daemon. */
export class OutlierEjection {
	/**
	 * @example
	 * const ejection = OutlierEjection.create();
	 */
	static create(): OutlierEjection {
		return new OutlierEjection();
	}

	/** Median of the servers' mean relative latencies; 0 until measured. */
	medianRelativeLatency = 0;
	#medianFailureShare = 0;
	#checkedAtMs = Number.NEGATIVE_INFINITY;
	#sortBuffer = new Float64Array(16);

	private constructor() {
		// Use create.
	}

	/**
	 * Records whether an attempt was slow. The slow answer that would make the server an outlier is
	 * counted only if the slow attempts span more time than a stall.
	 *
	 * @param sentAtMs - time at which the attempt was sent
	 * @example
	 * ejection.recordSlowness(entry, true, sentAtMs);
	 */
	recordSlowness(entry: ServerEntry, isSlow: boolean, sentAtMs: number): void {
		if (!isSlow) {
			entry.consecutiveSlowAnswers = 0;
			return;
		}

		if (entry.consecutiveSlowAnswers === 0) {
			entry.firstSlowSentAtMs = sentAtMs;
		}

		const spansMinimum = sentAtMs - entry.firstSlowSentAtMs >= minSlowSpanMs;
		if (entry.consecutiveSlowAnswers < minSlowAnswers - 1 || spansMinimum) {
			entry.consecutiveSlowAnswers += 1;
		}
	}

	/**
	 * Compares the servers with their medians and ejects the outliers, worst first.
	 *
	 * @param maxEjectedShare - largest share of the servers that may be ejected at once
	 * @example
	 * ejection.updateEjections(entries, 0.3, nowMs);
	 */
	updateEjections(entries: readonly ServerEntry[], maxEjectedShare: number, nowMs: number): void {
		if (nowMs - this.#checkedAtMs < checkIntervalMs) {
			return;
		}

		this.#checkedAtMs = nowMs;
		this.#updateMedians(entries);
		this.reinstateSurplus(entries, maxEjectedShare, nowMs);
		const maxEjected = computeMaxEjected(entries, maxEjectedShare);
		let remaining = maxEjected - countEjected(entries);
		while (remaining > 0) {
			const worst = this.#findWorst(entries);
			if (worst === undefined) {
				break;
			}

			ejectEntry(worst, nowMs);
			remaining -= 1;
		}

		assertMaxEjected(entries, maxEjected);
	}

	/**
	 * Reinstates servers while more are ejected than the share allows, for example after others left.
	 *
	 * @example
	 * ejection.reinstateSurplus(entries, 0.3, nowMs);
	 */
	reinstateSurplus(entries: readonly ServerEntry[], maxEjectedShare: number, nowMs: number): void {
		let surplus = countEjected(entries) - Math.max(0, computeMaxEjected(entries, maxEjectedShare));
		for (const entry of entries) {
			if (surplus <= 0) {
				return;
			}

			if (entry.isUsable && entry.ejection.kind !== 'active') {
				reinstateEntry(entry, nowMs);
				surplus -= 1;
			}
		}
	}

	/**
	 * Ends the trial of a server: reinstates it with slow start, or ejects it for longer.
	 *
	 * @param hasSucceeded - whether the trial call ended without failure and in time
	 * @example
	 * ejection.finishTrial(entry, true, nowMs);
	 */
	finishTrial(entry: ServerEntry, hasSucceeded: boolean, nowMs: number): void {
		if (hasSucceeded) {
			reinstateEntry(entry, nowMs);
		} else {
			ejectEntry(entry, nowMs);
		}
	}

	/**
	 * Returns whether a latency is far above that of the peers.
	 *
	 * @example
	 * ejection.isSlow({latencyMs: 120, meanMs: 10});
	 */
	isSlow({latencyMs, meanMs}: LatencySample): boolean {
		return (
			this.medianRelativeLatency > 0 &&
			latencyMs > this.medianRelativeLatency * slowLatencyRatio * meanMs + slowLatencyMarginMs
		);
	}

	#updateMedians(entries: readonly ServerEntry[]): void {
		if (this.#sortBuffer.length < entries.length) {
			this.#sortBuffer = new Float64Array(entries.length * 2);
		}

		const values = this.#sortBuffer;
		let count = 0;
		for (const entry of entries) {
			if (isComparable(entry)) {
				values[count] = entry.latency.mean;
				count += 1;
			}
		}

		this.medianRelativeLatency = computeMedian(values, count);
		count = 0;
		for (const entry of entries) {
			if (entry.isUsable) {
				values[count] = entry.failureShare;
				count += 1;
			}
		}

		this.#medianFailureShare = computeMedian(values, count);
	}

	/** Finds the outlier with the highest score, if there is one. */
	#findWorst(entries: readonly ServerEntry[]): ServerEntry | undefined {
		let worst: ServerEntry | undefined;
		let worstScore = 0;
		for (const entry of entries) {
			if (!entry.isUsable || entry.ejection.kind !== 'active') {
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

	/** Computes the outlier score of a server: highest for a failing one, 0 if it is no outlier. */
	#computeScore(entry: ServerEntry): number {
		if (
			entry.failureShare > outlierFailureShare &&
			this.#medianFailureShare < maxPeerFailureShare
		) {
			return Number.MAX_VALUE;
		}

		return entry.consecutiveSlowAnswers >= minSlowAnswers ? entry.latency.mean : 0;
	}
}

/** Whether a server counts in the median latency. */
function isComparable(entry: ServerEntry): boolean {
	return entry.isUsable && entry.latency.samples >= minSamples;
}

/** Computes the lower median of the first `count` values; sorts them in place. */
function computeMedian(values: Float64Array, count: number): number {
	if (count === 0) {
		return 0;
	}

	const filled = values.subarray(0, count);
	filled.sort();
	return filled[Math.floor((count - 1) / 2)]!;
}

/**
 * Counts the usable servers that are ejected or in their trial call; the limit covers both.
 *
 * @example
 * countEjected(group.ownRegion);
 */
export function countEjected(entries: readonly ServerEntry[]): number {
	let count = 0;
	for (const entry of entries) {
		if (entry.isUsable && entry.ejection.kind !== 'active') {
			count += 1;
		}
	}

	return count;
}

/** Computes how many servers may be ejected at once: a share of the usable ones, never all. */
function computeMaxEjected(entries: readonly ServerEntry[], share: number): number {
	let usable = 0;
	for (const entry of entries) {
		usable += entry.isUsable ? 1 : 0;
	}

	return Math.min(Math.floor(usable * share), usable - 1);
}

/** Reinstates a server with slow start and discards its previous measurements. */
function reinstateEntry(entry: ServerEntry, nowMs: number): void {
	entry.ejection = {kind: 'active'};
	entry.latency.reset();
	entry.failureShare = 0;
	entry.consecutiveSlowAnswers = 0;
	entry.slowStart.start(nowMs);
}

/** Ejects a server for a time that doubles with each consecutive ejection. */
function ejectEntry(entry: ServerEntry, nowMs: number): void {
	if (nowMs - entry.ejectedUntilMs > ejectionResetMs) {
		entry.consecutiveEjections = 0;
	}

	const durationMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** entry.consecutiveEjections);
	entry.consecutiveEjections += 1;
	entry.ejectedUntilMs = nowMs + durationMs;
	entry.ejection = {kind: 'ejected', untilMs: entry.ejectedUntilMs};
}

function assertMaxEjected(entries: readonly ServerEntry[], maxEjected: number): void {
	const ejected = countEjected(entries);
	if (ejected > Math.max(0, maxEjected)) {
		throw RoutingInvariantError.create(
			`${ejected} servers are ejected, but at most ${maxEjected} may be`,
		);
	}
}
