/**
 * Kinds of faults in a randomised run, and counts of the injected ones.
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
 * Creates fault counts that are all zero.
 *
 * @example
 * const counts = createFaultCounts();
 * counts.kill++;
 */
export function createFaultCounts(): FaultCounts {
	return Object.fromEntries(faultKinds.map(kind => [kind, 0])) as FaultCounts;
}

/**
 * Picks a random element of a list that is not empty.
 *
 * @example
 * pickOne(['a', 'b'], random);
 */
export function pickElement<T>(items: readonly T[], random: () => number): T {
	return items[Math.floor(random() * items.length)]!;
}
