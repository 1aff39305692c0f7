/**
 * Converts table rows to and from items of the DynamoDB JSON API.
 */
import {type RowKey, type TableRow, type WriteCondition} from './types.ts';

export type AttributeValue = {readonly S: string} | {readonly N: string};

export type Item = Readonly<Record<string, AttributeValue>>;

/** Fields of a write request that hold its condition. */
export type ConditionFields = {
	readonly ConditionExpression?: string;
	readonly ExpressionAttributeNames?: Readonly<Record<string, string>>;
	readonly ExpressionAttributeValues?: Item;
};

/**
 * Encodes a row key as the key of an item.
 *
 * @example
 * encodeKey({partition: 'config', sort: 'head'});
 */
export function encodeKey(key: RowKey): Item {
	return {partition: {S: key.partition}, sort: {S: key.sort}};
}

/**
 * Encodes a row as an item. The table's time-to-live setting refers to the attribute `expiresAt`.
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

/** Returns the value of a string attribute, or undefined when it is missing or of another type. */
function readStringAttribute(item: Item, name: string): string | undefined {
	const value = item[name];
	return value !== undefined && 'S' in value ? value.S : undefined;
}

/**
 * Decodes an item into a row.
 *
 * @returns the row, or undefined when a required attribute is missing or not a string
 * @example
 * const row = decodeRow(response.Item);
 */
export function decodeRow(item: Item): TableRow | undefined {
	const partition = readStringAttribute(item, 'partition');
	const sort = readStringAttribute(item, 'sort');
	const revision = readStringAttribute(item, 'revision');
	const body = readStringAttribute(item, 'body');
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
 * Encodes a condition as fields of a write request.
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
