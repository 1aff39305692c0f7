/**
 * Codec between table rows and items of the DynamoDB JSON API.
 */
import {type RowKey, type TableRow, type WriteCondition} from './types.ts';

export type AttributeValue = {readonly S: string} | {readonly N: string};

export type Item = Readonly<Record<string, AttributeValue>>;

/** Condition fields of a write request. */
export type ConditionFields = {
	readonly ConditionExpression?: string;
	readonly ExpressionAttributeNames?: Readonly<Record<string, string>>;
	readonly ExpressionAttributeValues?: Item;
};

/**
 * Writes a row key as the key of an item.
 *
 * @example
 * encodeKey({partition: 'config', sort: 'head'});
 */
export function encodeKey(key: RowKey): Item {
	return {partition: {S: key.partition}, sort: {S: key.sort}};
}

/**
 * Writes a row as an item; `expiresAt` is the attribute that the table's time to live watches.
 *
 * @example
 * encodeRow({partition: 'config', sort: 'head', revision: '7', body: '{}'});
 */
export function encodeRow(row: TableRow): Item {
	const item = {...encodeKey(row), revision: {S: row.revision}, body: {S: row.body}};
	return row.expiresAtSeconds === undefined
		? item
		: {...item, expiresAt: {N: String(row.expiresAtSeconds)}};
}

/** Reads a text attribute. */
function readText(item: Item, name: string): string | undefined {
	const value = item[name];
	return value !== undefined && 'S' in value ? value.S : undefined;
}

/**
 * Reads an item as a row.
 *
 * @returns undefined when an attribute is missing
 * @example
 * const row = decodeRow(answer.Item);
 */
export function decodeRow(item: Item): TableRow | undefined {
	const partition = readText(item, 'partition');
	const sort = readText(item, 'sort');
	const revision = readText(item, 'revision');
	const body = readText(item, 'body');
	if (
		partition === undefined ||
		sort === undefined ||
		revision === undefined ||
		body === undefined
	) {
		return undefined;
	}

	const row = {partition, sort, revision, body};
	const {expiresAt} = item;
	return expiresAt !== undefined && 'N' in expiresAt
		? {...row, expiresAtSeconds: Number(expiresAt.N)}
		: row;
}

/**
 * Writes a condition as the fields of a write request.
 *
 * @example
 * const request = {TableName: 't', Item: encodeRow(row), ...encodeCondition({kind: 'absent'})};
 */
export function encodeCondition(condition: WriteCondition): ConditionFields {
	switch (condition.kind) {
		case 'none': {
			return {};
		}

		case 'absent': {
			return {
				ConditionExpression: 'attribute_not_exists(#partition)',
				ExpressionAttributeNames: {'#partition': 'partition'},
			};
		}

		case 'revision': {
			return {
				ConditionExpression: '#revision = :revision',
				ExpressionAttributeNames: {'#revision': 'revision'},
				ExpressionAttributeValues: {':revision': {S: condition.revision}},
			};
		}
	}
}
