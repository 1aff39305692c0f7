/** A small application server beside a sidecar, as PROTOCOL.md describes it. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';
import {type Socket} from 'node:net';
import {type CaseRecord} from './record.ts';
import {host, type SidecarProcess, zone} from './sidecar.ts';

const heartbeatIntervalMs = 1500;
const acknowledgeMs = 1000;

/** A request that the server runs. */
export type ServerRequest = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly body: Uint8Array;
	readonly socket: Socket;
	readonly response: http.ServerResponse;
};

export type ServerOptions = {
	readonly id: string;
	readonly service: string;
	readonly capacity: number;
	readonly sidecar: SidecarProcess;
	readonly record: CaseRecord;
	/** Runs a request: `answer` sends what it returns; undefined if the answer is sent otherwise, or never. */
	run(request: ServerRequest): Promise<Uint8Array | undefined>;
};

/** A run of a request. */
export type ServerRun = {
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly atMs: number;
};

export class AppServer {
	/**
	 * @example
	 * const server = AppServer.create({id: 'i-1', service: 'orders', capacity: 26, sidecar, record, run});
	 * await server.start();
	 */
	static create(options: ServerOptions): AppServer {
		return new AppServer(options);
	}

	/** Requests that the server began to run, in their order. */
	readonly runs: ServerRun[] = [];
	state: 'ready' | 'draining' | 'left' = 'ready';
	readonly #born = Date.now();
	#sequence = 0;
	#running = 0;
	#timer: NodeJS.Timeout | undefined;
	readonly #server = http.createServer((request, response) => {
		void this.#handle(request, response);
	});

	private constructor(private readonly options: ServerOptions) {}

	/** Requests that the server works on now. */
	get running(): number {
		return this.#running;
	}

	/** Listens, and sends a heartbeat at once and then every 1.5 s. */
	async start(): Promise<void> {
		this.#server.keepAliveTimeout = 10_000;
		await new Promise<void>(resolve => {
			this.#server.listen(this.options.sidecar.ports.server, host, resolve);
		});
		this.startHeartbeats();
	}

	startHeartbeats(): void {
		void this.sendHeartbeat();
		this.#timer = setInterval(() => {
			void this.sendHeartbeat();
		}, heartbeatIntervalMs);
	}

	stopHeartbeats(): void {
		clearInterval(this.#timer);
	}

	stop(): void {
		this.stopHeartbeats();
		this.#server.closeAllConnections();
		this.#server.close();
	}

	/** Creates the body of the next heartbeat. */
	createHeartbeat(state: 'ready' | 'draining'): string {
		const {service, capacity, sidecar} = this.options;
		this.#sequence++;
		return JSON.stringify({
			address: `${host}:${sidecar.ports.server}`,
			born: this.#born,
			info: {service, version: 'v1', zone, capacity},
			status: {state, sequence: this.#sequence, warmup_left_s: 0},
		});
	}

	/** Sends a heartbeat; resolves to whether it was acknowledged. */
	async sendHeartbeat(body?: string): Promise<boolean> {
		if (this.state === 'left') {
			return false;
		}

		return this.post('heartbeat', body ?? this.createHeartbeat(this.state));
	}

	/** Says that the server leaves, as one does that never reports `draining`. */
	async sendLeave(): Promise<boolean> {
		this.state = 'left';
		this.stopHeartbeats();
		return this.post('deregister', JSON.stringify({born: this.#born}));
	}

	async post(call: 'heartbeat' | 'deregister', body: string): Promise<boolean> {
		const {id, sidecar, record} = this.options;
		const status = await new Promise<number>(resolve => {
			const request = http.request({
				host,
				port: sidecar.ports.control,
				method: 'POST',
				path: `/api/rpc?call=instances.${call}&of=${id}`,
				headers: {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)},
				agent: false,
				timeout: acknowledgeMs,
			});
			request.on('response', response => {
				response.resume();
				resolve(response.statusCode ?? 0);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(0);
			});
			request.end(body);
		});
		record.add(`server ${id}: ${call} ${body}: ${status === 0 ? 'no answer' : status}`);
		return status >= 200 && status < 300;
	}

	async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const {id: serverId, capacity, record} = this.options;
		const path = request.url ?? '/';
		if (path === '/health') {
			const isHealthy = this.state === 'ready';
			response.writeHead(isHealthy ? 200 : 503, {'X-Instance-Id': serverId});
			response.end();
			record.add(`server ${serverId}: health check answered with ${isHealthy ? 200 : 503}`);
			return;
		}

		const id = String(request.headers['x-attempt-id']);
		const expected = request.headers['x-expected-instance'] ?? serverId;
		const chunks: Uint8Array[] = [];
		request.on('data', (chunk: Uint8Array) => {
			chunks.push(chunk);
		});
		await new Promise(resolve => {
			request.on('close', resolve);
			request.on('end', resolve);
		});
		if (!request.complete) {
			return;
		}

		if (expected !== serverId || this.#running >= capacity) {
			const isOther = expected !== serverId;
			response.writeHead(isOther ? 421 : 503, {'X-Not-Executed': '1', 'X-Attempt-Id': id});
			response.end();
			record.add(`server ${serverId}: ${id} refused with ${isOther ? 421 : 503}`);
			return;
		}

		this.#running++;
		const {method = 'GET', socket} = request;
		this.runs.push({id, method, path, atMs: record.readMs()});
		record.add(`server ${serverId}: ${id} runs, ${method} ${path}`);
		const body = Buffer.concat(chunks);
		const answer = await this.options.run({id, method, path, body, socket, response});
		this.#running--;
		if (answer !== undefined) {
			const leaving = this.state === 'ready' ? {} : {'Server-Leaving': '1'};
			response.writeHead(200, {...createAnswerHeaders(serverId, id, answer), ...leaving});
			response.end(answer);
			record.add(`server ${serverId}: ${id} answered with ${answer.length} bytes`);
		}
	}
}

/** Creates the headers of a success; the signature covers the id and the body. */
export function createAnswerHeaders(
	serverId: string,
	requestId: string,
	body: Uint8Array,
): http.OutgoingHttpHeaders {
	return {
		'X-Attempt-Id': requestId,
		'X-Server-Signature': sign(requestId, body),
		'X-Served-By': serverId,
		'Content-Length': body.length,
	};
}

export function sign(requestId: string, body: Uint8Array): string {
	return createHash('sha256').update(requestId).update(body).digest('hex').slice(0, 16);
}
