/** Messages in which a watcher passes on what it read from the store and collects overload summaries, as JSON. */
import {isCount, isDurationMs} from '../../decoding/value-checks.ts';
import {isOverloadSummary, type OverloadSummary} from '../overload/overload-summary.ts';
import {type Row, type StorePosition, type TableName} from '../shared-table.ts';
import {type PositionRange} from './table-position.ts';

/** The rows of one table that changed from one position of the store to another. */
export type TableChanges = PositionRange & {
	readonly table: TableName;
	/** Empty when nothing changed; the message then confirms the position. */
	readonly rows: readonly Row[];
	/** Time since the store confirmed the position; none in a relay of an earlier release. */
	readonly ageMs?: number;
};

export type RelayMessage = {
	/** Instance of the watcher. */
	readonly relayFrom: string;
	/** Empty while the watcher can't reach the store. */
	readonly changes: readonly TableChanges[];
	/** Summary of the data centre; the peer then answers with its own one. */
	readonly summary?: OverloadSummary | undefined;
};

const tableNames = new Set<unknown>(['operator', 'members'] satisfies TableName[]);

export function encodeRelay(message: RelayMessage): string {
	return JSON.stringify(message);
}

/** Whether a message between peers is a relay; `decodeRelay` checks the rest of it. */
export function isRelay(text: string): boolean {
	return text.startsWith('{"relayFrom":');
}

/**
 * Decodes a relay.
 *
 * @throws {TypeError} when the text is not a valid relay; it must then change nothing
 */
export function decodeRelay(text: string): RelayMessage {
	const value = JSON.parse(text) as Partial<Record<keyof RelayMessage, unknown>>;
	const {relayFrom, changes, summary} = value;
	if (
		typeof relayFrom !== 'string' ||
		!Array.isArray(changes) ||
		!changes.every(each => isTableChanges(each)) ||
		!(summary === undefined || isOverloadSummary(summary))
	) {
		throw new TypeError(`invalid relay of ${text.length} characters`);
	}

	return {relayFrom, changes, summary};
}

/**
 * Decodes the answer to a relay, which is empty unless the relay carried a summary.
 *
 * @returns undefined when the answer holds no valid summary
 */
export function decodeRelayAnswer(text: string): OverloadSummary | undefined {
	if (text === '') {
		return undefined;
	}

	try {
		const value: unknown = JSON.parse(text);
		return isOverloadSummary(value) ? value : undefined;
	} catch {
		return undefined;
	}
}

function isTableChanges(value: unknown): value is TableChanges {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {table, base, position, rows, ageMs} = value as Partial<
		Record<keyof TableChanges, unknown>
	>;
	return (
		isAge(ageMs) &&
		tableNames.has(table) &&
		isPosition(base) &&
		isPosition(position) &&
		Array.isArray(rows) &&
		rows.every(each => isRow(each))
	);
}

function isPosition(value: unknown): value is StorePosition {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {era, version} = value as Partial<Record<keyof StorePosition, unknown>>;
	return isCount(era) && isCount(version);
}

function isAge(value: unknown): boolean {
	return value === undefined || isDurationMs(value);
}

function isRow(value: unknown): value is Row {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {key, value: text, version} = value as Partial<Record<keyof Row, unknown>>;
	return (
		typeof key === 'string' && (text === undefined || typeof text === 'string') && isCount(version)
	);
}
