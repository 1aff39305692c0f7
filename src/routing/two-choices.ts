/**
 * Choice of a server within one tier: two random candidates, the cheaper one wins.
 */
import {type RouteRequest} from './types.ts';
import {type ServerEntry, type Strictness, type UsualLatency} from './server-entry.ts';

/** Uniform random numbers in [0, 1) from a seeded source. */
export type RandomSource = () => number;

/** What a pick depends on besides the servers. */
export type PickInput = {
	readonly request: RouteRequest;
	readonly nowMs: number;
	readonly usual: UsualLatency;
	readonly random: RandomSource;
	readonly strictness: Strictness;
};

/**
 * Picks the cheaper of two distinct random candidates.
 *
 * A candidate on trial after an ejection wins, so that it comes back although it was slow before.
 * The cost of a candidate in slow start counts several times, but for the share of the draws that it
 * may win by now. No memory is allocated, since this runs for each call.
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

/**
 * Picks the candidates in turn, whatever was measured of them.
 *
 * @param turn - grows by 1 with each call
 * @returns undefined when no server can take the call
 * @example
 * const entry = pickInTurn(tier, input, 7);
 */
export function pickInTurn(
	entries: readonly ServerEntry[],
	input: PickInput,
	turn: number,
): ServerEntry | undefined {
	const count = countCandidates(entries, input);
	return count === 0 ? undefined : findCandidate(entries, input, turn % count);
}

function chooseCheaper(first: ServerEntry, second: ServerEntry, input: PickInput): ServerEntry {
	const {nowMs, usual, strictness} = input;
	if (strictness === 'strict' && first.isOnTrial !== second.isOnTrial) {
		return first.isOnTrial ? first : second;
	}

	const firstCost = first.computeCost(nowMs, usual) * computePenalty(first, input);
	const secondCost = second.computeCost(nowMs, usual) * computePenalty(second, input);
	return firstCost <= secondCost ? first : second;
}

/** Computes the factor that keeps most calls away from a server in slow start. */
function computePenalty(entry: ServerEntry, {nowMs, random}: PickInput): number {
	const share = entry.slowStart.computeShare(nowMs);
	return share >= 1 || random() < share ? 1 : 1 / share;
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
