/**
 * In-memory table of the platform stand-in, with the DynamoDB expressions that the table client uses.
 */
import {Buffer} from 'node:buffer';
import {ApiError} from './operation.ts';

export type AttributeValue = {readonly S?: string; readonly N?: string};

export type Item = Readonly<Record<string, AttributeValue>>;

/** Fields of a request with its expressions and their placeholders. */
export type Expressions = {
	readonly ConditionExpression?: string;
	readonly KeyConditionExpression?: string;
	readonly ExpressionAttributeNames?: Readonly<Record<string, string>>;
	readonly ExpressionAttributeValues?: Item;
};

export type Write =
	| {readonly kind: 'put'; readonly item: Item; readonly expressions: Expressions}
	| {readonly kind: 'delete'; readonly key: Item; readonly expressions: Expressions};

const maxItemBytes = 409_600;

/** Throws the API error for an invalid request. */
function rejectRequest(message: string): never {
	throw ApiError.create(400, 'ValidationException', message);
}

/** Returns a required string attribute; throws `ApiError` when it is missing or empty. */
function requireText(item: Item, name: string): string {
	const text = item[name]?.S;
	if (text === undefined || text === '') {
		rejectRequest(`attribute "${name}" must be a non-empty string (type S)`);
	}

	return text;
}

/** Resolves a `#placeholder` to its attribute name. */
function resolveName(expressions: Expressions, placeholder: string): string {
	const name = expressions.ExpressionAttributeNames?.[placeholder];
	return name ?? rejectRequest(`ExpressionAttributeNames lacks "${placeholder}"`);
}

/** Resolves a `:placeholder` to its string value. */
function resolveValue(expressions: Expressions, placeholder: string): string {
	const value = expressions.ExpressionAttributeValues?.[placeholder]?.S;
	return value ?? rejectRequest(`ExpressionAttributeValues lacks "${placeholder}" of type S`);
}

/** Checks the condition of a write against the current item. */
function isConditionMet(current: Item | undefined, expressions: Expressions): boolean {
	const text = expressions.ConditionExpression;
	if (text === undefined) {
		return true;
	}

	const absent = /^attribute_not_exists\((#\w+)\)$/v.exec(text);
	if (absent !== null) {
		return current?.[resolveName(expressions, absent[1]!)] === undefined;
	}

	const equal = /^(#\w+) = (:\w+)$/v.exec(text);
	if (equal === null) {
		rejectRequest(`ConditionExpression "${text}" is not supported`);
	}

	const expected = resolveValue(expressions, equal[2]!);
	return current?.[resolveName(expressions, equal[1]!)]?.S === expected;
}

/** Items of one table, by partition key and sort key. */
export class MemoryTable {
	/**
	 * @example
	 * const table = MemoryTable.create();
	 */
	static create(): MemoryTable {
		return new MemoryTable(new Map());
	}

	private constructor(private readonly partitions: Map<string, Map<string, Item>>) {}

	/** Returns the item with a key; undefined when there is none. */
	find(key: Item): Item | undefined {
		return this.partitions.get(requireText(key, 'partition'))?.get(requireText(key, 'sort'));
	}

	/** Applies all writes atomically; throws `ApiError` and applies none when a condition fails. */
	apply(writes: readonly Write[]): void {
		const seen = new Set<string>();
		for (const write of writes) {
			const key = write.kind === 'put' ? write.item : write.key;
			const name = JSON.stringify([requireText(key, 'partition'), requireText(key, 'sort')]);
			if (seen.has(name)) {
				rejectRequest(`transaction has two writes for the key ${name}`);
			}

			seen.add(name);
			this.validateWrite(write);
		}

		const conditionResults = writes.map(write => this.isWriteAllowed(write));
		if (conditionResults.includes(false)) {
			throw this.createConditionError(conditionResults);
		}

		for (const write of writes) {
			this.applyWrite(write);
		}
	}

	/** Lists the items that match a key condition, ordered by sort key. */
	query(expressions: Expressions): readonly Item[] {
		const text = expressions.KeyConditionExpression ?? '';
		const match = /^(#\w+) = (:\w+)(?: AND begins_with\((#\w+), (:\w+)\))?$/v.exec(text);
		if (match === null || resolveName(expressions, match[1]!) !== 'partition') {
			rejectRequest(`KeyConditionExpression "${text}" is not supported`);
		}

		const rows =
			this.partitions.get(resolveValue(expressions, match[2]!)) ?? new Map<string, Item>();
		const prefix = match[4] === undefined ? '' : resolveValue(expressions, match[4]);
		if (
			match[3] !== undefined &&
			(resolveName(expressions, match[3]) !== 'sort' || prefix === '')
		) {
			rejectRequest('begins_with requires the sort key and a non-empty prefix');
		}

		const items: Item[] = [];
		for (const sort of [...rows.keys()].toSorted()) {
			if (sort.startsWith(prefix)) {
				items.push(rows.get(sort)!);
			}
		}

		return items;
	}

	private validateWrite(write: Write): void {
		if (write.kind === 'delete') {
			return;
		}

		requireText(write.item, 'revision');
		if (Buffer.byteLength(JSON.stringify(write.item)) > maxItemBytes) {
			rejectRequest('Item size has exceeded the maximum allowed size');
		}
	}

	private isWriteAllowed(write: Write): boolean {
		const key = write.kind === 'put' ? write.item : write.key;
		return isConditionMet(this.find(key), write.expressions);
	}

	private applyWrite(write: Write): void {
		switch (write.kind) {
			case 'put': {
				const partition = requireText(write.item, 'partition');
				const rows = this.partitions.get(partition) ?? new Map<string, Item>();
				this.partitions.set(partition, rows);
				rows.set(requireText(write.item, 'sort'), write.item);
				return;
			}

			case 'delete': {
				const rows = this.partitions.get(requireText(write.key, 'partition'));
				rows?.delete(requireText(write.key, 'sort'));
			}
		}
	}

	private createConditionError(conditionResults: readonly boolean[]): ApiError {
		if (conditionResults.length === 1) {
			return ApiError.create(
				400,
				'ConditionalCheckFailedException',
				'The conditional request failed',
			);
		}

		const reasons = conditionResults.map(isMet => ({
			Code: isMet ? 'None' : 'ConditionalCheckFailed',
		}));
		return ApiError.create(400, 'TransactionCanceledException', 'Transaction cancelled', {
			CancellationReasons: reasons,
		});
	}
}
