/**
 * In-memory table of the platform stand-in, with the expressions that the adapter uses.
 */
import {Buffer} from 'node:buffer';
import {ApiError} from './operation.ts';

export type AttributeValue = {readonly S?: string; readonly N?: string};

export type Item = Readonly<Record<string, AttributeValue>>;

/** Fields of a request that hold an expression's names and values. */
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

/** Throws the API's error for a malformed request. */
function refuseRequest(message: string): never {
	throw ApiError.create(400, 'ValidationException', message);
}

/** Reads a text attribute that must be there. */
function readText(item: Item, name: string): string {
	const text = item[name]?.S;
	if (text === undefined || text === '') {
		refuseRequest(`attribute "${name}" must be a non-empty S`);
	}

	return text;
}

/** Reads the name behind a `#placeholder`. */
function readName(expressions: Expressions, placeholder: string): string {
	const name = expressions.ExpressionAttributeNames?.[placeholder];
	return name ?? refuseRequest(`ExpressionAttributeNames lacks "${placeholder}"`);
}

/** Reads the text behind a `:placeholder`. */
function readValue(expressions: Expressions, placeholder: string): string {
	const value = expressions.ExpressionAttributeValues?.[placeholder]?.S;
	return value ?? refuseRequest(`ExpressionAttributeValues lacks "${placeholder}" of type S`);
}

/** Tells whether a write's condition holds for the item that is there. */
function isConditionMet(current: Item | undefined, expressions: Expressions): boolean {
	const text = expressions.ConditionExpression;
	if (text === undefined) {
		return true;
	}

	const absent = /^attribute_not_exists\((#\w+)\)$/v.exec(text);
	if (absent !== null) {
		return current?.[readName(expressions, absent[1]!)] === undefined;
	}

	const equal = /^(#\w+) = (:\w+)$/v.exec(text);
	if (equal === null) {
		refuseRequest(`ConditionExpression "${text}" is not supported`);
	}

	const expected = readValue(expressions, equal[2]!);
	return current?.[readName(expressions, equal[1]!)]?.S === expected;
}

/** Rows of one table, by partition and sort key. */
export class MemoryTable {
	/**
	 * @example
	 * const table = MemoryTable.create();
	 */
	static create(): MemoryTable {
		return new MemoryTable(new Map());
	}

	private constructor(private readonly partitions: Map<string, Map<string, Item>>) {}

	/** Finds the item of a key. */
	find(key: Item): Item | undefined {
		return this.partitions.get(readText(key, 'partition'))?.get(readText(key, 'sort'));
	}

	/** Carries out all writes or, when a condition does not hold, none. */
	apply(writes: readonly Write[]): void {
		const seen = new Set<string>();
		for (const write of writes) {
			const key = write.kind === 'put' ? write.item : write.key;
			const name = JSON.stringify([readText(key, 'partition'), readText(key, 'sort')]);
			if (seen.has(name)) {
				refuseRequest(`transaction holds two writes of ${name}`);
			}

			seen.add(name);
			this.validateWrite(write);
		}

		const verdicts = writes.map(write => this.isWriteAllowed(write));
		if (verdicts.includes(false)) {
			throw this.createConditionError(verdicts);
		}

		for (const write of writes) {
			this.applyWrite(write);
		}
	}

	/** Lists the items that a key condition selects, in order of the sort key. */
	query(expressions: Expressions): readonly Item[] {
		const text = expressions.KeyConditionExpression ?? '';
		const match = /^(#\w+) = (:\w+)(?: AND begins_with\((#\w+), (:\w+)\))?$/v.exec(text);
		if (match === null || readName(expressions, match[1]!) !== 'partition') {
			refuseRequest(`KeyConditionExpression "${text}" is not supported`);
		}

		const rows = this.partitions.get(readValue(expressions, match[2]!)) ?? new Map<string, Item>();
		const prefix = match[4] === undefined ? '' : readValue(expressions, match[4]);
		if (match[3] !== undefined && (readName(expressions, match[3]) !== 'sort' || prefix === '')) {
			refuseRequest('begins_with needs the sort key and a prefix that is not empty');
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

		readText(write.item, 'revision');
		if (Buffer.byteLength(JSON.stringify(write.item)) > maxItemBytes) {
			refuseRequest('Item size has exceeded the maximum allowed size');
		}
	}

	private isWriteAllowed(write: Write): boolean {
		const key = write.kind === 'put' ? write.item : write.key;
		return isConditionMet(this.find(key), write.expressions);
	}

	private applyWrite(write: Write): void {
		switch (write.kind) {
			case 'put': {
				const partition = readText(write.item, 'partition');
				const rows = this.partitions.get(partition) ?? new Map<string, Item>();
				this.partitions.set(partition, rows);
				rows.set(readText(write.item, 'sort'), write.item);
				return;
			}

			case 'delete': {
				const rows = this.partitions.get(readText(write.key, 'partition'));
				rows?.delete(readText(write.key, 'sort'));
			}
		}
	}

	private createConditionError(verdicts: readonly boolean[]): ApiError {
		if (verdicts.length === 1) {
			return ApiError.create(
				400,
				'ConditionalCheckFailedException',
				'The conditional request failed',
			);
		}

		const reasons = verdicts.map(isMet => ({Code: isMet ? 'None' : 'ConditionalCheckFailed'}));
		return ApiError.create(400, 'TransactionCanceledException', 'Transaction cancelled', {
			CancellationReasons: reasons,
		});
	}
}
