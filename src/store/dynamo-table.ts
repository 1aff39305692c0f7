/**
 * Adapter of the table port to the DynamoDB JSON API.
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
import {SignedHttp, type SignedAnswer} from './signed-http.ts';
import {type RowKey, type Table, type TableRow, type TableWrite} from './types.ts';

const apiVersion = 'DynamoDB_20120810';

type Operation = 'GetItem' | 'PutItem' | 'DeleteItem' | 'TransactWriteItems' | 'Query';

type ErrorBody = {
	readonly __type?: string;
	readonly message?: string;
	readonly CancellationReasons?: ReadonlyArray<{readonly Code?: string}>;
};

type WriteRequest = ConditionFields & {
	readonly TableName: string;
	readonly Item?: Item;
	readonly Key?: Item;
};

type GetBody = {readonly Item?: Item};

type QueryBody = {readonly Items?: readonly Item[]; readonly LastEvaluatedKey?: Item};

/** Names a row in errors. */
function formatKey(key: RowKey): string {
	return `${key.partition}/${key.sort}`;
}

/** Reads the key that a write concerns. */
function readWriteKey(write: TableWrite): RowKey {
	switch (write.kind) {
		case 'put': {
			return write.row;
		}

		case 'delete': {
			return write.key;
		}
	}
}

/** Tells whether an error body says that a condition did not hold. */
function isConditionFailure(body: ErrorBody): boolean {
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

/** Turns an answer that is not a success into an error of this layer. */
function convertFailure(operation: Operation, key: string, answer: SignedAnswer): PlatformError {
	const text = Buffer.from(answer.body).toString('utf8');
	const detail = `status ${answer.status}: ${text.slice(0, 300)}`;
	if (answer.status < 400 || answer.status > 499) {
		return PlatformError.create('lostAnswer', operation, key, detail);
	}

	try {
		const body = JSON.parse(text) as ErrorBody;
		const kind = isConditionFailure(body) ? 'conditionFailed' : 'rejected';
		return PlatformError.create(kind, operation, key, detail);
	} catch {
		return PlatformError.create('lostAnswer', operation, key, detail);
	}
}

/** Reads the JSON body of a success. */
function parseAnswer<Body>(
	operation: Operation,
	key: string,
	answer: SignedAnswer,
): Result<Body, PlatformError> {
	if (answer.status !== 200) {
		return err(convertFailure(operation, key, answer));
	}

	try {
		return ok(JSON.parse(Buffer.from(answer.body).toString('utf8')) as Body);
	} catch {
		return err(PlatformError.create('lostAnswer', operation, key, 'answer is not JSON'));
	}
}

/** Table port over the DynamoDB JSON API; reads are strongly consistent. */
export class DynamoTable implements Table {
	/**
	 * @example
	 * const table = DynamoTable.create(settings);
	 */
	static create(settings: PlatformSettings): DynamoTable {
		return new DynamoTable(
			SignedHttp.create('dynamodb', settings.tableUrl, settings),
			settings.tableName,
		);
	}

	private constructor(
		private readonly http: SignedHttp,
		private readonly tableName: string,
	) {}

	get(key: RowKey): ResultAsync<TableRow | undefined, PlatformError> {
		const request = {TableName: this.tableName, Key: encodeKey(key), ConsistentRead: true};
		return this.call<GetBody>('GetItem', formatKey(key), request).andThen(body =>
			body.Item === undefined ? ok(undefined) : this.decodeItem('GetItem', body.Item),
		);
	}

	write(write: TableWrite): ResultAsync<void, PlatformError> {
		const operation = write.kind === 'put' ? 'PutItem' : 'DeleteItem';
		const key = formatKey(readWriteKey(write));
		return this.call(operation, key, this.encodeWrite(write)).map(() => undefined);
	}

	transact(writes: readonly TableWrite[]): ResultAsync<void, PlatformError> {
		const items = writes.map(write =>
			write.kind === 'put' ? {Put: this.encodeWrite(write)} : {Delete: this.encodeWrite(write)},
		);
		const key = writes.map(write => formatKey(readWriteKey(write))).join(',');
		return this.call('TransactWriteItems', key, {TransactItems: items}).map(() => undefined);
	}

	query(partition: string, prefix: string): ResultAsync<readonly TableRow[], PlatformError> {
		return ResultAsync.fromSafePromise(this.readPages(partition, prefix)).andThen(rows => rows);
	}

	/** Closes the connections; requests in flight fail. */
	async close(): Promise<void> {
		await this.http.close();
	}

	private async readPages(
		partition: string,
		prefix: string,
	): Promise<Result<readonly TableRow[], PlatformError>> {
		const rows: TableRow[] = [];
		let startKey: Item | undefined;
		do {
			const request = this.encodeQuery(partition, prefix, startKey);
			const page = await this.call<QueryBody>('Query', `${partition}/${prefix}`, request);
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
			return err(PlatformError.create('rejected', operation, shown, 'item is not a row'));
		}

		return ok(row);
	}

	private call<Body>(
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
			.andThen(answer => parseAnswer<Body>(operation, key, answer));
	}
}
