/**
 * Differences between two policy documents with their values, for operators to read.
 */
import {listDifferences} from '../policy/diff.ts';

/** One field that differs. */
export type Difference = {
	readonly path: string;
	readonly before: string;
	readonly after: string;
};

const orderSuffix = '[order]';
const maxShownCharacters = 200;

type Fields = Readonly<Record<string, unknown>>;

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null;
}

/** Finds the part of a value that one step of a path names; items of an array by their name. */
function findPart(value: unknown, step: string): unknown {
	if (Array.isArray(value)) {
		return value.find(item => isFields(item) && item.name === step);
	}

	return isFields(value) ? value[step] : undefined;
}

function findValue(document: unknown, path: string): unknown {
	let value = document;
	for (const step of path.split(/[.\[\]]+/v)) {
		if (step !== '') {
			value = findPart(value, step);
		}
	}

	return value;
}

function formatValue(value: unknown): string {
	const text = value === undefined ? '(absent)' : JSON.stringify(value);
	return text.length > maxShownCharacters ? `${text.slice(0, maxShownCharacters)}…` : text;
}

function formatOrder(value: unknown): string {
	if (!Array.isArray(value)) {
		return formatValue(value);
	}

	return value.map(item => (isFields(item) ? String(item.name) : '?')).join(', ');
}

function formatAt(document: unknown, path: string): string {
	return path.endsWith(orderSuffix)
		? formatOrder(findValue(document, path.slice(0, -orderSuffix.length)))
		: formatValue(findValue(document, path));
}

/**
 * Lists the fields that differ, each with its value before and after.
 *
 * @example
 * for (const {path, before, after} of listFieldChanges(base, document)) console.log(path, before, after);
 */
export function listFieldChanges(before: unknown, after: unknown): readonly Difference[] {
	return listDifferences(before, after).map(path => ({
		path,
		before: formatAt(before, path),
		after: formatAt(after, path),
	}));
}
