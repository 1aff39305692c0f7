/**
 * Decides what a relay means to a sidecar that knows a table up to some position (fencing by epoch).
 *
 * Versions order the changes of one era only. A relay from a later era is never joined to what was known before
 * unless it starts from there, and never counts before the store has confirmed its era.
 */
import {type StorePosition} from '../shared-table.ts';

/** The rows that changed from one position to another. */
export type PositionRange = {readonly base: StorePosition; readonly position: StorePosition};

export type RelayDecision =
	/** Tells nothing new. */
	| 'ignored'
	/** Continues what is known. */
	| 'applied'
	/** Changes before it are missing. */
	| 'gap'
	/** Leads from what is known into a later era. */
	| 'restored'
	/** Is from a later era and doesn't continue what is known. */
	| 'behind';

/** Compares by era, then by version; negative when the first position is earlier. */
export function comparePositions(first: StorePosition, second: StorePosition): number {
	return first.era === second.era ? first.version - second.version : first.era - second.era;
}

/**
 * @example
 * decideOnRelay({era: 1, version: 7}, {base: {era: 1, version: 5}, position: {era: 1, version: 9}}); // 'applied'
 */
export function decideOnRelay(
	known: StorePosition,
	{base, position}: PositionRange,
): RelayDecision {
	const continues = base.era === known.era && base.version <= known.version;
	if (position.era > known.era) {
		return continues ? 'restored' : 'behind';
	}

	if (comparePositions(position, known) <= 0) {
		return 'ignored';
	}

	return continues ? 'applied' : 'gap';
}
