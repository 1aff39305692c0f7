/**
 * Differences between two policy documents, as field paths.
 */
import {type ConflictFields} from './errors.ts';
import {encodeCanonicalJson} from './digest.ts';

type JsonObject = {readonly [key: string]: unknown; readonly name?: unknown};

/**
 * Lists the sorted paths of the fields that differ. Array items are matched by name if all of them have
 * one; a change of their order is reported as `[order]`.
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
 * Computes which fields the operator and the version in force changed since their common base.
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
	const differing = listDifferences(documents.mine, documents.inForce);
	const overlapping = differing.filter(
		path =>
			mine.some(other => isRelated(path, other)) && inForce.some(other => isRelated(path, other)),
	);
	return {mine, inForce, overlapping};
}

/** Checks whether the paths are equal or one contains the other. */
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

	if (isJsonObject(before) && isJsonObject(after)) {
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
	const namedBefore = indexByName(before);
	const namedAfter = indexByName(after);
	if (namedBefore === undefined || namedAfter === undefined) {
		if (encodeCanonicalJson(before) !== encodeCanonicalJson(after)) {
			paths.push(path);
		}

		return;
	}

	for (const name of new Set([...namedBefore.keys(), ...namedAfter.keys()])) {
		addDifferences(namedBefore.get(name), namedAfter.get(name), `${path}[${name}]`, paths);
	}

	if (hasDifferentOrder([...namedBefore.keys()], [...namedAfter.keys()])) {
		paths.push(`${path}[order]`);
	}
}

/** Compares the order of the names in both lists; it matters, since the first call rule that matches wins. */
function hasDifferentOrder(before: readonly string[], after: readonly string[]): boolean {
	const shared = new Set(after);
	const sharedBefore = before.filter(name => shared.has(name));
	const present = new Set(sharedBefore);
	const sharedAfter = after.filter(name => present.has(name));
	return sharedBefore.join('\n') !== sharedAfter.join('\n');
}

/** Indexes items by name; undefined if an item has no name or two have the same. */
function indexByName(items: readonly unknown[]): Map<string, unknown> | undefined {
	const named = new Map<string, unknown>();
	for (const item of items) {
		const name = isJsonObject(item) ? item.name : undefined;
		if (typeof name !== 'string' || named.has(name)) {
			return undefined;
		}

		named.set(name, item);
	}

	return named;
}

function isJsonObject(value: unknown): value is JsonObject {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
