/**
 * The subset of the DynamoDB JSON API that the table client uses.
 */
import {Buffer} from 'node:buffer';
import {MemoryTable, type Expressions, type Item, type Write} from './memory-table.ts';
import {ApiError, type Operation, type OperationAnswer} from './operation.ts';

const targetPrefix = 'DynamoDB_20120810.';
const contentType = 'application/x-amz-json-1.0';
const maxTransactItems = 100;
const maxPageItems = 500;

type WriteRequest = Expressions & {
	readonly TableName?: string;
	readonly Item?: Item;
	readonly Key?: Item;
};

type TableRequest = WriteRequest & {
	readonly ConsistentRead?: boolean;
	readonly ExclusiveStartKey?: Item;
	readonly TransactItems?: ReadonlyArray<{
		readonly Put?: WriteRequest;
		readonly Delete?: WriteRequest;
	}>;
};

/** Encodes a successful answer as JSON. */
function encodeAnswer(body: Record<string, unknown>): OperationAnswer {
	return {status: 200, contentType, body: Buffer.from(JSON.stringify(body))};
}

/** Returns a required field of a request; throws `ApiError` when it is missing. */
function requireField<Value>(value: Value | undefined, name: string): Value {
	if (value === undefined) {
		throw ApiError.create(400, 'ValidationException', `"${name}" is missing`);
	}

	return value;
}

/** Decodes a put, either a single one or one of a transaction. */
function decodePut(request: WriteRequest): Write {
	return {kind: 'put', item: requireField(request.Item, 'Item'), expressions: request};
}

/** Decodes a delete, either a single one or one of a transaction. */
function decodeDelete(request: WriteRequest): Write {
	return {kind: 'delete', key: requireField(request.Key, 'Key'), expressions: request};
}

/**
 * Encodes an error in the format of the API.
 *
 * @example
 * encodeDynamoError(ApiError.create(400, 'ValidationException', 'Key is missing'));
 */
export function encodeDynamoError(error: ApiError): OperationAnswer {
	const type = `com.amazonaws.dynamodb.v20120810#${error.code}`;
	const body = JSON.stringify({__type: type, message: error.message, ...error.details});
	return {status: error.status, contentType, body: Buffer.from(body)};
}

/** Decodes API requests into operations on one in-memory table. */
export class DynamoApi {
	/**
	 * @example
	 * const api = DynamoApi.create('primrosevalve');
	 */
	static create(tableName: string): DynamoApi {
		return new DynamoApi(tableName, MemoryTable.create());
	}

	private constructor(
		private readonly tableName: string,
		private readonly table: MemoryTable,
	) {}

	/** Decodes one request; throws `ApiError` for a malformed one. */
	decode(target: string, body: string): Operation {
		if (!target.startsWith(targetPrefix)) {
			throw ApiError.create(400, 'UnknownOperationException', `target "${target}" is unknown`);
		}

		const name = target.slice(targetPrefix.length);
		const request = this.parseRequest(body);
		const isWrite = name !== 'GetItem' && name !== 'Query';
		return {name, isWrite, run: () => this.runOperation(name, request)};
	}

	private runOperation(name: string, request: TableRequest): OperationAnswer {
		switch (name) {
			case 'GetItem': {
				this.validateTable(request);
				const item = this.table.find(requireField(request.Key, 'Key'));
				return encodeAnswer(item === undefined ? {} : {Item: item});
			}

			case 'PutItem': {
				return this.applyWrites([request], [decodePut(request)]);
			}

			case 'DeleteItem': {
				return this.applyWrites([request], [decodeDelete(request)]);
			}

			case 'TransactWriteItems': {
				return this.runTransaction(request);
			}

			case 'Query': {
				return this.runQuery(request);
			}

			default: {
				throw ApiError.create(400, 'UnknownOperationException', `operation "${name}" is unknown`);
			}
		}
	}

	private runTransaction(request: TableRequest): OperationAnswer {
		const items = requireField(request.TransactItems, 'TransactItems');
		if (items.length === 0 || items.length > maxTransactItems) {
			throw ApiError.create(
				400,
				'ValidationException',
				`TransactItems has ${items.length} items; 1 to 100 are allowed`,
			);
		}

		const requests: WriteRequest[] = [];
		const writes: Write[] = [];
		for (const item of items) {
			requests.push(requireField(item.Put ?? item.Delete, 'Put or Delete'));
			writes.push(item.Put === undefined ? decodeDelete(item.Delete!) : decodePut(item.Put));
		}

		return this.applyWrites(requests, writes);
	}

	private runQuery(request: TableRequest): OperationAnswer {
		this.validateTable(request);
		const items = this.table.query(request);
		const startAfter = request.ExclusiveStartKey?.sort?.S;
		const rest =
			startAfter === undefined ? items : items.filter(item => item.sort!.S! > startAfter);
		const page = rest.slice(0, maxPageItems);
		const last = page.at(-1);
		return last === undefined || rest.length === page.length
			? encodeAnswer({Items: page, Count: page.length})
			: encodeAnswer({
					Items: page,
					Count: page.length,
					LastEvaluatedKey: {partition: last.partition, sort: last.sort},
				});
	}

	private applyWrites(
		requests: readonly WriteRequest[],
		writes: readonly Write[],
	): OperationAnswer {
		for (const request of requests) {
			this.validateTable(request);
		}

		this.table.apply(writes);
		return encodeAnswer({});
	}

	private validateTable(request: WriteRequest): void {
		if (request.TableName !== this.tableName) {
			const message = `table "${request.TableName ?? ''}" does not exist`;
			throw ApiError.create(400, 'ResourceNotFoundException', message);
		}
	}

	private parseRequest(body: string): TableRequest {
		try {
			return JSON.parse(body) as TableRequest;
		} catch {
			throw ApiError.create(400, 'SerializationException', 'request body is not valid JSON');
		}
	}
}
