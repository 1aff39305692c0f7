/**
 * Stand-in for the platform: an in-memory table service and object store on one HTTP server, with
 * fault injection. `POST /faults` sets a fault plan, `GET /faults` returns the counts of injected faults
 * and served operations.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {DynamoApi, encodeDynamoError} from './dynamo-api.ts';
import {FaultSource, parseFaultPlan, type FaultPlan} from './faults.ts';
import {ApiError, type Operation, type OperationAnswer} from './operation.ts';
import {encodeS3Error, S3Api} from './s3-api.ts';
import {verifySignature, type Credentials} from './signature.ts';

const maxRequestBytes = 64 * 1024 * 1024;
const faultsPath = '/faults';

/** Names and credentials of the stand-in; its clients need the same. */
export type PlatformStandInOptions = Credentials & {
	readonly tableName: string;
	readonly bucket: string;
};

/** Options for tests and the demo, which write the same values into the daemons' settings. */
export const defaultStandInOptions: PlatformStandInOptions = {
	tableName: 'primrosevalve',
	bucket: 'primrosevalve',
	accessKeyId: 'standin',
	secretAccessKey: 'standin-secret',
};

/** Number of operations that ran, by kind. */
export type OperationCounts = {readonly reads: number; readonly writes: number};

/** Reads a request body; throws `ApiError` when it exceeds `maxRequestBytes`. */
async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	let length = 0;
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		length += chunk.length;
		if (length > maxRequestBytes) {
			throw ApiError.create(413, 'EntityTooLarge', `request body exceeds ${maxRequestBytes} bytes`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

function sendAnswer(response: ServerResponse, answer: OperationAnswer): void {
	response.writeHead(answer.status, {
		'content-type': answer.contentType,
		'content-length': answer.body.byteLength,
	});
	response.end(answer.body);
}

function sendJson(response: ServerResponse, status: number, body: Record<string, unknown>): void {
	const text = Buffer.from(JSON.stringify(body));
	sendAnswer(response, {status, contentType: 'application/json', body: text});
}

/** HTTP server of the platform stand-in. */
export class PlatformStandIn {
	/**
	 * @example
	 * const platform = PlatformStandIn.create();
	 * const url = await platform.listen(0);
	 */
	static create(options: PlatformStandInOptions = defaultStandInOptions): PlatformStandIn {
		return new PlatformStandIn(options);
	}

	private readonly faults = FaultSource.create();
	private readonly server: Server;
	private readonly dynamo: DynamoApi;
	private readonly s3: S3Api;
	private readonly counts = {reads: 0, writes: 0};

	private constructor(private readonly options: PlatformStandInOptions) {
		this.dynamo = DynamoApi.create(options.tableName);
		this.s3 = S3Api.create(options.bucket);
		this.server = createServer((request, response) => {
			void this.handleRequest(request, response);
		});
	}

	/** Listens on 127.0.0.1; port 0 picks a free port. Resolves to the base URL. */
	async listen(port: number): Promise<string> {
		this.server.listen(port, '127.0.0.1');
		await once(this.server, 'listening');
		return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Stops the server and destroys its connections. */
	async close(): Promise<void> {
		this.server.close();
		this.server.closeAllConnections();
		await once(this.server, 'close');
	}

	/** Puts a fault plan in force, as `POST /faults` does. */
	setFaults(plan: Partial<FaultPlan> & Pick<FaultPlan, 'kind'>): void {
		const fullPlan = parseFaultPlan(JSON.stringify(plan));
		if (fullPlan === undefined) {
			throw new Error(`fault plan is malformed: ${JSON.stringify(plan)}`);
		}

		this.faults.setPlan(fullPlan);
	}

	/** Returns how many faults have been injected so far, by kind. */
	readFaultCounts(): Readonly<Record<string, number>> {
		return this.faults.readCounts();
	}

	/** Returns how many operations have run so far. */
	readOperationCounts(): OperationCounts {
		return {...this.counts};
	}

	private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			const body = await readBody(request);
			if (request.url === faultsPath) {
				this.handleFaults(request, response, body);
				return;
			}

			await this.handleOperation(request, response, body);
		} catch (error) {
			this.sendError(request, response, error);
		}
	}

	private async handleOperation(
		request: IncomingMessage,
		response: ServerResponse,
		body: Uint8Array,
	): Promise<void> {
		const operation = await this.decodeOperation(request, body);
		switch (this.faults.pickFault(operation.name)) {
			case 'none': {
				sendAnswer(response, this.runOperation(operation));
				return;
			}

			case 'fail': {
				throw ApiError.create(500, 'InternalServerError', 'injected failure');
			}

			case 'stall': {
				await wait(this.faults.readDelayMs());
				sendAnswer(response, this.runOperation(operation));
				return;
			}

			case 'loseAnswer': {
				this.runWithoutAnswer(operation);
				request.socket.destroy();
				return;
			}

			case 'cut': {
				request.socket.destroy();
				return;
			}

			case 'lateEffect': {
				request.socket.destroy();
				await wait(this.faults.readDelayMs());
				this.runWithoutAnswer(operation);
			}
		}
	}

	/** Runs an operation and discards its answer, API errors included. */
	private runWithoutAnswer(operation: Operation): void {
		try {
			this.runOperation(operation);
		} catch (error) {
			if (!(error instanceof ApiError)) {
				throw error;
			}
		}
	}

	private runOperation(operation: Operation): OperationAnswer {
		if (operation.isWrite) {
			this.counts.writes++;
		} else {
			this.counts.reads++;
		}

		return operation.run();
	}

	private async decodeOperation(request: IncomingMessage, body: Uint8Array): Promise<Operation> {
		const method = request.method ?? 'GET';
		const url = new URL(request.url ?? '/', `http://${request.headers.host ?? '127.0.0.1'}`);
		const {headers} = request;
		const service = await verifySignature({method, url, headers, body}, this.options);
		if (service === 'dynamodb') {
			return this.dynamo.decode(
				String(headers['x-amz-target']),
				Buffer.from(body).toString('utf8'),
			);
		}

		const contentType = headers['content-type'] ?? 'application/octet-stream';
		return this.s3.decode({method, url, contentType, body});
	}

	private handleFaults(request: IncomingMessage, response: ServerResponse, body: Uint8Array): void {
		if (request.method === 'GET') {
			sendJson(response, 200, {faults: this.faults.readCounts(), operations: this.counts});
			return;
		}

		const plan = parseFaultPlan(Buffer.from(body).toString('utf8'));
		if (plan === undefined) {
			sendJson(response, 400, {message: 'fault plan is malformed'});
			return;
		}

		this.faults.setPlan(plan);
		sendJson(response, 200, plan);
	}

	private sendError(request: IncomingMessage, response: ServerResponse, error: unknown): void {
		if (!(error instanceof ApiError)) {
			request.socket.destroy();
			return;
		}

		const isTable = request.headers['x-amz-target'] !== undefined;
		sendAnswer(response, isTable ? encodeDynamoError(error) : encodeS3Error(error));
	}
}
