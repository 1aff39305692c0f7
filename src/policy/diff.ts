/**
 * Differences between two policy documents, as field paths.
 */
import {type ConflictFields} from './errors.ts';
import {encodeCanonicalJson} from './digest.ts';

type Fields = {readonly [key: string]: unknown; readonly name?: unknown};

/**
 * Lists the paths of the fields that differ, in order. Items of an array that have a name are matched
 * by it; their order is reported apart, as `[order]`.
 *
 * @example
 * listDifferences(before, after); // ['services[catalogue].slotsPerServer']
 */
export function listDifferences(before: unknown, after: unknown): string[] {
	const paths: string[] = [];
	addDifferences(before, after, '', paths);
	return paths.toSorted();
}

/**
 * Computes what an operator and the version in force changed since the common base.
 *
 * @example
 * const {overlapping} = computeConflictFields({base, mine, inForce});
 */
export function computeConflictFields(documents: {
	readonly base: unknown;
	readonly mine: unknown;
	readonly inForce: unknown;
}): ConflictFields {
	const mine = listDifferences(documents.base, documents.mine);
	const inForce = listDifferences(documents.base, documents.inForce);
	const opposed = listDifferences(documents.mine, documents.inForce);
	const overlapping = opposed.filter(
		path =>
			mine.some(other => isRelated(path, other)) && inForce.some(other => isRelated(path, other)),
	);
	return {mine, inForce, overlapping};
}

/** Tells whether one path is the other or lies below it. */
function isRelated(path: string, other: string): boolean {
	return path === other || isBelow(path, other) || isBelow(other, path);
}

function isBelow(path: string, parent: string): boolean {
	return path.startsWith(`${parent}.`) || path.startsWith(`${parent}[`);
}

function addDifferences(before: unknown, after: unknown, path: string, paths: string[]): void {
	if (Array.isArray(before) && Array.isArray(after)) {
		addArrayDifferences(before, after, path, paths);
		return;
	}

	if (isFields(before) && isFields(after)) {
		const prefix = path === '' ? '' : `${path}.`;
		for (const key of new Set([...Object.keys(before), ...Object.keys(after)])) {
			addDifferences(before[key], after[key], `${prefix}${key}`, paths);
		}

		return;
	}

	if (encodeCanonicalJson(before) !== encodeCanonicalJson(after)) {
		paths.push(path === '' ? '(document)' : path);
	}
}

function addArrayDifferences(
	before: readonly unknown[],
	after: readonly unknown[],
	path: string,
	paths: string[],
): void {
	const namedBefore = convertToNamed(before);
	const namedAfter = convertToNamed(after);
	if (namedBefore === undefined || namedAfter === undefined) {
		if (encodeCanonicalJson(before) !== encodeCanonicalJson(after)) {
			paths.push(path);
		}

		return;
	}

	for (const name of new Set([...namedBefore.keys(), ...namedAfter.keys()])) {
		addDifferences(namedBefore.get(name), namedAfter.get(name), `${path}[${name}]`, paths);
	}

	if (hasOtherOrder([...namedBefore.keys()], [...namedAfter.keys()])) {
		paths.push(`${path}[order]`);
	}
}

/** Tells whether the names that both lists have stand in another order; the first call rule wins. */
function hasOtherOrder(before: readonly string[], after: readonly string[]): boolean {
	const shared = new Set(after);
	const kept = before.filter(name => shared.has(name));
	const present = new Set(kept);
	const moved = after.filter(name => present.has(name));
	return kept.join('\n') !== moved.join('\n');
}

/** Maps items by name; undefined when an item has none or a name stands twice. */
function convertToNamed(items: readonly unknown[]): Map<string, unknown> | undefined {
	const named = new Map<string, unknown>();
	for (const item of items) {
		const name = isFields(item) ? item.name : undefined;
		if (typeof name !== 'string' || named.has(name)) {
			return undefined;
		}

		named.set(name, item);
	}

	return named;
}

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
