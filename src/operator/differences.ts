/**
 * Field-by-field differences between two policy documents, with values formatted for display.
 */
import {listDifferences} from '../policy/diff.ts';

/** A field that differs, with its formatted values. */
export type Difference = {
	readonly path: string;
	readonly before: string;
	readonly after: string;
};

/** Suffix of a path that reports a change in the order of an array's items. */
const orderSuffix = '[order]';
const maxValueCharacters = 200;

type ObjectValue = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is ObjectValue {
	return typeof value === 'object' && value !== null;
}

/** Resolves one segment of a path; items of an array are found by their `name`. */
function findChild(value: unknown, segment: string): unknown {
	if (Array.isArray(value)) {
		return value.find(item => isObject(item) && item.name === segment);
	}

	return isObject(value) ? value[segment] : undefined;
}

function findValue(document: unknown, path: string): unknown {
	let value = document;
	for (const segment of path.split(/[.\[\]]+/v)) {
		if (segment !== '') {
			value = findChild(value, segment);
		}
	}

	return value;
}

function formatValue(value: unknown): string {
	const text = value === undefined ? '(absent)' : JSON.stringify(value);
	return text.length > maxValueCharacters ? `${text.slice(0, maxValueCharacters)}…` : text;
}

function formatOrder(value: unknown): string {
	if (!Array.isArray(value)) {
		return formatValue(value);
	}

	return value.map(item => (isObject(item) ? String(item.name) : '?')).join(', ');
}

function formatValueAt(document: unknown, path: string): string {
	return path.endsWith(orderSuffix)
		? formatOrder(findValue(document, path.slice(0, -orderSuffix.length)))
		: formatValue(findValue(document, path));
}

/**
 * Lists the fields that differ, each with its value before and after; long values are truncated.
 *
 * @example
 * for (const {path, before, after} of listFieldChanges(base, document)) console.log(path, before, after);
 */
export function listFieldChanges(before: unknown, after: unknown): readonly Difference[] {
	return listDifferences(before, after).map(path => ({
		path,
		before: formatValueAt(before, path),
		after: formatValueAt(after, path),
	}));
}
