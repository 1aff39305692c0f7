/**
 * Choice of a server within one tier: two random candidates, the cheaper one wins.
 */
import {type RouteRequest} from './types.ts';
import {type ServerEntry, type Strictness} from './server-entry.ts';

/** Uniform random numbers in [0, 1) from a seeded source. */
export type RandomSource = () => number;

/** What a pick depends on besides the servers. */
export type PickInput = {
	readonly request: RouteRequest;
	readonly nowMs: number;
	/** Usual latency of the service's servers in milliseconds. */
	readonly baselineMs: number;
	readonly random: RandomSource;
	readonly strictness: Strictness;
};

/**
 * Picks the cheaper of two distinct random candidates.
 *
 * A candidate on trial after an ejection wins, so that it comes back although it was slow before.
 * A candidate in slow start loses without a comparison as often as its share says. No memory is
 * allocated, since this runs for each call.
 *
 * @returns undefined when no server can take the call
 * @example
 * const entry = pickOfTwo(tier, input);
 */
export function pickOfTwo(
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

function chooseCheaper(first: ServerEntry, second: ServerEntry, input: PickInput): ServerEntry {
	const {nowMs, baselineMs, random, strictness} = input;
	if (strictness === 'strict' && first.isOnTrial !== second.isOnTrial) {
		return first.isOnTrial ? first : second;
	}

	const isFirstWarm = isTaken(first.slowStart.computeShare(nowMs), random);
	const isSecondWarm = isTaken(second.slowStart.computeShare(nowMs), random);
	if (isFirstWarm !== isSecondWarm) {
		return isFirstWarm ? first : second;
	}

	const firstCost = first.computeCost(nowMs, baselineMs);
	return firstCost <= second.computeCost(nowMs, baselineMs) ? first : second;
}

function isTaken(share: number, random: RandomSource): boolean {
	return share >= 1 || random() < share;
}

function isCandidate(entry: ServerEntry, input: PickInput): boolean {
	const {request, nowMs, strictness} = input;
	return (
		!request.excluded.has(entry.member.server) &&
		entry.canTake(request.importance, nowMs, strictness)
	);
}

function countCandidates(entries: readonly ServerEntry[], input: PickInput): number {
	let count = 0;
	for (const entry of entries) {
		count += isCandidate(entry, input) ? 1 : 0;
	}

	return count;
}

/** Finds the candidate with `rank` candidates before it. */
function findCandidate(
	entries: readonly ServerEntry[],
	input: PickInput,
	rank: number,
): ServerEntry | undefined {
	let before = 0;
	for (const entry of entries) {
		if (!isCandidate(entry, input)) {
			continue;
		}

		if (before === rank) {
			return entry;
		}

		before += 1;
	}

	return undefined;
}
