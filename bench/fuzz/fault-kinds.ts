/**
 * Faults of a randomised run, and how often each was injected.
 */

export const faultKinds = [
	'loss',
	'duplication',
	'delay',
	'partition',
	'platformCut',
	'kill',
	'replace',
	'replaceFrozen',
	'freeze',
	'leave',
	'tableOutage',
	'lostAnswer',
	'lateEffect',
	'race',
] as const;

export type FaultKind = (typeof faultKinds)[number];

export type FaultCounts = Record<FaultKind, number>;

/**
 * Creates counts of no fault yet.
 *
 * @example
 * const counts = createFaultCounts();
 * counts.kill++;
 */
export function createFaultCounts(): FaultCounts {
	return Object.fromEntries(faultKinds.map(kind => [kind, 0])) as FaultCounts;
}

/**
 * Draws one of several.
 *
 * @example
 * pickOne(['a', 'b'], random);
 */
export function pickOne<T>(items: readonly T[], random: () => number): T {
	return items[Math.floor(random() * items.length)]!;
}
