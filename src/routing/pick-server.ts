/**
 * Load balancing within one tier: power of two choices by cost, or round robin.
 */
import {type RouteRequest} from './types.ts';
import {type ServerEntry, type Strictness, type PeerLatency} from './server-entry.ts';

/** Returns uniform random numbers in [0, 1). */
export type RandomSource = () => number;

/** Inputs of a selection besides the servers. */
export type PickInput = {
	readonly request: RouteRequest;
	readonly nowMs: number;
	readonly peers: PeerLatency;
	readonly random: RandomSource;
	readonly strictness: Strictness;
};

/**
 * Picks the cheaper of two distinct random candidates.
 *
 * An ejected candidate that is due for its trial call is preferred regardless of cost, since its
 * earlier latency would otherwise keep calls away from it. The cost of a candidate in slow start is
 * multiplied, except in the share of selections that its ramp already allows. Allocates no memory,
 * because it runs for each call.
 *
 * @returns undefined if no server is available for the call
 * @example
 * const entry = pickByCost(tier, input);
 */
export function pickByCost(
	entries: readonly ServerEntry[],
	input: PickInput,
): ServerEntry | undefined {
	const count = countCandidates(entries, input);
	if (count < 2) {
		return count === 0 ? undefined : findCandidate(entries, input, 0);
	}

	const firstRank = Math.floor(input.random() * count);
	const otherRank = Math.floor(input.random() * (count - 1));
	const secondRank = otherRank < firstRank ? otherRank : otherRank + 1;
	const first = findCandidate(entries, input, firstRank)!;
	const second = findCandidate(entries, input, secondRank)!;
	return chooseCheaper(first, second, input);
}

/**
 * Picks the candidates in round-robin order, regardless of measurements.
 *
 * @param turn - counter that grows by 1 with each selection
 * @returns undefined if no server is available for the call
 * @example
 * const entry = pickRoundRobin(tier, input, 7);
 */
export function pickRoundRobin(
	entries: readonly ServerEntry[],
	input: PickInput,
	turn: number,
): ServerEntry | undefined {
	const count = countCandidates(entries, input);
	return count === 0 ? undefined : findCandidate(entries, input, turn % count);
}

function chooseCheaper(first: ServerEntry, second: ServerEntry, input: PickInput): ServerEntry {
	const {nowMs, peers, strictness} = input;
	if (strictness === 'strict' && first.isEjected !== second.isEjected) {
		return first.isEjected ? first : second;
	}

	const firstCost = first.computeCost(nowMs, peers) * computeSlowStartFactor(first, input);
	const secondCost = second.computeCost(nowMs, peers) * computeSlowStartFactor(second, input);
	return firstCost <= secondCost ? first : second;
}

/** Computes the cost factor that keeps most calls away from a server in slow start. */
function computeSlowStartFactor(entry: ServerEntry, {nowMs, random}: PickInput): number {
	const share = entry.slowStart.computeShare(nowMs);
	return share >= 1 || random() < share ? 1 : 1 / share;
}

function isCandidate(entry: ServerEntry, input: PickInput): boolean {
	const {request, nowMs, strictness} = input;
	return (
		!request.excluded.has(entry.member.server) &&
		entry.isAvailable(request.importance, nowMs, strictness)
	);
}

function countCandidates(entries: readonly ServerEntry[], input: PickInput): number {
	let count = 0;
	for (const entry of entries) {
		count += isCandidate(entry, input) ? 1 : 0;
	}

	return count;
}

/** Finds the candidate at the zero-based position `rank` among the candidates. */
function findCandidate(
	entries: readonly ServerEntry[],
	input: PickInput,
	rank: number,
): ServerEntry | undefined {
	let skipped = 0;
	for (const entry of entries) {
		if (!isCandidate(entry, input)) {
			continue;
		}

		if (skipped === rank) {
			return entry;
		}

		skipped += 1;
	}

	return undefined;
}
