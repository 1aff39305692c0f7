/**
 * Table client for the DynamoDB JSON API.
 */
import {Buffer} from 'node:buffer';
import {err, ok, okAsync, type Result, ResultAsync} from 'neverthrow';
import {
	decodeRow,
	encodeCondition,
	encodeKey,
	encodeRow,
	type ConditionFields,
	type Item,
} from './dynamo-items.ts';
import {PlatformError} from './errors.ts';
import {type PlatformSettings} from './settings.ts';
import {SignedHttpClient, type SignedResponse} from './signed-http-client.ts';
import {type RowKey, type Table, type TableRow, type TableWrite} from './types.ts';

const apiVersion = 'DynamoDB_20120810';

type Operation = 'GetItem' | 'PutItem' | 'DeleteItem' | 'TransactWriteItems' | 'Query';

type ErrorResponse = {
	readonly __type?: string;
	readonly message?: string;
	readonly CancellationReasons?: ReadonlyArray<{readonly Code?: string}>;
};

type WriteRequest = ConditionFields & {
	readonly TableName: string;
	readonly Item?: Item;
	readonly Key?: Item;
};

type GetItemResponse = {readonly Item?: Item};

type QueryResponse = {readonly Items?: readonly Item[]; readonly LastEvaluatedKey?: Item};

/** Formats a row key for error messages. */
function formatKey(key: RowKey): string {
	return `${key.partition}/${key.sort}`;
}

/** Returns the key of the row that a write changes. */
function getKeyOfWrite(write: TableWrite): RowKey {
	switch (write.kind) {
		case 'put': {
			return write.row;
		}

		case 'delete': {
			return write.key;
		}
	}
}

/** Returns whether an error response reports that a write condition was not met. */
function isConditionFailure(body: ErrorResponse): boolean {
	const type = body.__type ?? '';
	if (type.endsWith('ConditionalCheckFailedException')) {
		return true;
	}

	if (!type.endsWith('TransactionCanceledException')) {
		return false;
	}

	const reasons = body.CancellationReasons ?? [];
	return reasons.some(reason => reason.Code === 'ConditionalCheckFailed');
}

/**
 * Converts an unsuccessful response into an error. Only a 4xx status with a JSON body proves that
 * nothing was written.
 */
function convertErrorResponse(
	operation: Operation,
	key: string,
	response: SignedResponse,
): PlatformError {
	const text = Buffer.from(response.body).toString('utf8');
	const detail = `status ${response.status}: ${text.slice(0, 300)}`;
	if (response.status < 400 || response.status > 499) {
		return PlatformError.create('lostAnswer', operation, key, detail);
	}

	try {
		const body = JSON.parse(text) as ErrorResponse;
		const kind = isConditionFailure(body) ? 'conditionFailed' : 'rejected';
		return PlatformError.create(kind, operation, key, detail);
	} catch {
		return PlatformError.create('lostAnswer', operation, key, detail);
	}
}

/** Parses the JSON body of a successful response. */
function parseResponse<Body>(
	operation: Operation,
	key: string,
	response: SignedResponse,
): Result<Body, PlatformError> {
	if (response.status !== 200) {
		return err(convertErrorResponse(operation, key, response));
	}

	try {
		return ok(JSON.parse(Buffer.from(response.body).toString('utf8')) as Body);
	} catch {
		return err(PlatformError.create('lostAnswer', operation, key, 'response body is not JSON'));
	}
}

/** Table client for the DynamoDB JSON API; reads are strongly consistent. */
export class DynamoTable implements Table {
	/**
	 * @example
	 * const table = DynamoTable.create(settings);
	 */
	static create(settings: PlatformSettings): DynamoTable {
		return new DynamoTable(
			SignedHttpClient.create('dynamodb', settings.tableUrl, settings),
			settings.tableName,
		);
	}

	private constructor(
		private readonly http: SignedHttpClient,
		private readonly tableName: string,
	) {}

	get(key: RowKey): ResultAsync<TableRow | undefined, PlatformError> {
		const request = {TableName: this.tableName, Key: encodeKey(key), ConsistentRead: true};
		return this.sendOperation<GetItemResponse>('GetItem', formatKey(key), request).andThen(body =>
			body.Item === undefined ? ok(undefined) : this.decodeItem('GetItem', body.Item),
		);
	}

	write(write: TableWrite): ResultAsync<void, PlatformError> {
		const operation = write.kind === 'put' ? 'PutItem' : 'DeleteItem';
		const key = formatKey(getKeyOfWrite(write));
		return this.sendOperation(operation, key, this.encodeWrite(write)).map(() => undefined);
	}

	transact(writes: readonly TableWrite[]): ResultAsync<void, PlatformError> {
		const items = writes.map(write =>
			write.kind === 'put' ? {Put: this.encodeWrite(write)} : {Delete: this.encodeWrite(write)},
		);
		const key = writes.map(write => formatKey(getKeyOfWrite(write))).join(',');
		return this.sendOperation('TransactWriteItems', key, {TransactItems: items}).map(
			() => undefined,
		);
	}

	query(partition: string, prefix: string): ResultAsync<readonly TableRow[], PlatformError> {
		return ResultAsync.fromSafePromise(this.queryAllPages(partition, prefix)).andThen(rows => rows);
	}

	/** Closes the connections; requests in flight fail. */
	async close(): Promise<void> {
		await this.http.close();
	}

	private async queryAllPages(
		partition: string,
		prefix: string,
	): Promise<Result<readonly TableRow[], PlatformError>> {
		const rows: TableRow[] = [];
		let startKey: Item | undefined;
		do {
			const request = this.encodeQuery(partition, prefix, startKey);
			const page = await this.sendOperation<QueryResponse>(
				'Query',
				`${partition}/${prefix}`,
				request,
			);
			if (page.isErr()) {
				return err(page.error);
			}

			for (const item of page.value.Items ?? []) {
				const row = this.decodeItem('Query', item);
				if (row.isErr()) {
					return err(row.error);
				}

				rows.push(row.value);
			}

			startKey = page.value.LastEvaluatedKey;
		} while (startKey !== undefined);

		return ok(rows);
	}

	private encodeQuery(
		partition: string,
		prefix: string,
		startKey: Item | undefined,
	): Record<string, unknown> {
		const request = {
			TableName: this.tableName,
			ConsistentRead: true,
			...(startKey === undefined ? {} : {ExclusiveStartKey: startKey}),
		};
		if (prefix === '') {
			return {
				...request,
				KeyConditionExpression: '#partition = :partition',
				ExpressionAttributeNames: {'#partition': 'partition'},
				ExpressionAttributeValues: {':partition': {S: partition}},
			};
		}

		return {
			...request,
			KeyConditionExpression: '#partition = :partition AND begins_with(#sort, :sort)',
			ExpressionAttributeNames: {'#partition': 'partition', '#sort': 'sort'},
			ExpressionAttributeValues: {':partition': {S: partition}, ':sort': {S: prefix}},
		};
	}

	private encodeWrite(write: TableWrite): WriteRequest {
		const target = {TableName: this.tableName, ...encodeCondition(write.condition)};
		switch (write.kind) {
			case 'put': {
				return {...target, Item: encodeRow(write.row)};
			}

			case 'delete': {
				return {...target, Key: encodeKey(write.key)};
			}
		}
	}

	private decodeItem(operation: Operation, item: Item): Result<TableRow, PlatformError> {
		const row = decodeRow(item);
		if (row === undefined) {
			const shown = JSON.stringify(item).slice(0, 200);
			return err(
				PlatformError.create(
					'rejected',
					operation,
					shown,
					'a required attribute of the item is missing or not a string',
				),
			);
		}

		return ok(row);
	}

	private sendOperation<Body>(
		operation: Operation,
		key: string,
		request: Record<string, unknown>,
	): ResultAsync<Body, PlatformError> {
		return okAsync<undefined, PlatformError>(undefined)
			.andThen(() =>
				this.http.send({
					operation,
					key,
					method: 'POST',
					path: '/',
					headers: {
						'content-type': 'application/x-amz-json-1.0',
						'x-amz-target': `${apiVersion}.${operation}`,
					},
					body: JSON.stringify(request),
				}),
			)
			.andThen(response => parseResponse<Body>(operation, key, response));
	}
}
