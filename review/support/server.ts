/** A backend server as the platform's pages describe it, which keeps what it ran. */
import {createHash} from 'node:crypto';
import http from 'node:http';
import {type Socket} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {type CaseRecord} from './record.ts';

const heartbeatMs = 1500;

export type ServerPlan = {
	readonly id: string;
	readonly service: string;
	readonly zone: string;
	readonly slots: number;
	readonly workMs: number;
};

/** Ports of a server: the one that it names, the one on which it listens, and its sidecar's for reports. */
export type ServerPorts = {
	readonly app: number;
	readonly listen: number;
	readonly control: number;
};

/** One run of a request. */
export type Run = {
	readonly server: string;
	readonly id: string;
	readonly method: string;
	readonly path: string;
	readonly callerService: string;
	/** Bytes and digest of the body; undefined until the body is whole. */
	bytes: number | undefined;
	digest: string | undefined;
	/** Number of bytes by letter. */
	readonly letters: Map<string, number>;
};

/** How the server treats a request's body. */
export type BodyPlan =
	/** Reads it, then runs the request. */
	| {readonly kind: 'whole'}
	/** Rejects the request once so many bytes are in, and reads the rest afterwards. */
	| {readonly kind: 'early'; readonly afterBytes: number}
	/** Reads so many bytes a second. */
	| {readonly kind: 'slow'; readonly bytesPerSecond: number};

export class BackendServer {
	static create(plan: ServerPlan, ports: ServerPorts, record: CaseRecord): BackendServer {
		return new BackendServer(plan, ports, record);
	}

	readonly runs: Run[] = [];
	/** Answers to requests, and those of them that were given before the request was in, or garbled. */
	answerCount = 0;
	faultCount = 0;
	bodyPlan: BodyPlan = {kind: 'whole'};
	/** Whether the server computes digests of bodies. */
	hasDigests = true;
	/** Writes what isn't an answer in the place of one; true if it did so. */
	garble: ((socket: Socket, attempt: string) => boolean) | undefined;
	#server: http.Server | undefined;
	#timer: NodeJS.Timeout | undefined;
	#bornMs = 0;
	#sequence = 0;
	#running = 0;

	private constructor(
		readonly plan: ServerPlan,
		private readonly ports: ServerPorts,
		private readonly record: CaseRecord,
	) {}

	/** Starts, or starts again, with the same id. */
	async start(): Promise<void> {
		this.#bornMs = Date.now();
		this.#sequence = 0;
		this.#server = http.createServer({keepAliveTimeout: 10_000}, (request, response) => {
			void this.#handle(request, response);
		});
		await new Promise<void>(resolve => {
			this.#server!.listen(this.ports.listen, '127.0.0.1', resolve);
		});
		this.record.write(this.plan.id, 'started');
		this.#timer = setInterval(() => {
			void this.sendHeartbeat();
		}, heartbeatMs);
		await this.sendHeartbeat();
	}

	/** Ends without a word: connections are closed and new ones are refused. */
	async stop(): Promise<void> {
		clearInterval(this.#timer);
		const server = this.#server;
		this.#server = undefined;
		if (server !== undefined) {
			this.record.write(this.plan.id, 'ended');
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		}
	}

	async sendHeartbeat(): Promise<void> {
		const {id, service, zone, slots: capacity} = this.plan;
		const body = JSON.stringify({
			address: `127.0.0.1:${this.ports.app}`,
			born: this.#bornMs,
			info: {service, version: 'v1', zone, capacity},
			status: {state: 'ready', sequence: ++this.#sequence, warmup_left_s: 0},
		});
		await postToControl(this.ports.control, `/api/rpc?call=instances.heartbeat&of=${id}`, body);
	}

	async #handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
		const {id, slots} = this.plan;
		if (request.url === '/health') {
			response.writeHead(200, {'X-Instance-Id': id}).end();
			return;
		}

		const attempt = String(request.headers['x-attempt-id']);
		const expected = request.headers['x-expected-instance'];
		if (expected !== undefined && expected !== id) {
			request.resume();
			response.writeHead(421, {'X-Instance-Id': id, 'X-Attempt-Id': attempt}).end();
			return;
		}

		if (this.#running >= slots) {
			request.resume();
			response.writeHead(503, {'X-Not-Executed': '1', 'X-Attempt-Id': attempt}).end();
			return;
		}

		this.#running++;
		response.on('close', () => {
			this.#running--;
		});
		await this.#run(attempt, request, response);
	}

	async #run(
		attempt: string,
		request: http.IncomingMessage,
		response: http.ServerResponse,
	): Promise<void> {
		const {id, workMs} = this.plan;
		const run: Run = {
			server: id,
			id: attempt,
			method: request.method ?? '',
			path: request.url ?? '',
			callerService: String(request.headers['x-caller-service']),
			bytes: undefined,
			digest: undefined,
			letters: new Map(),
		};
		this.runs.push(run);
		this.record.write(id, `began ${run.method} ${run.path} ${attempt} for ${run.callerService}`);
		response.on('close', () => {
			if (!response.writableFinished) {
				this.record.write(id, `connection of ${attempt} closed before its answer`);
			}
		});
		if (!(await this.#readBody(run, request, response))) {
			this.record.write(id, `body of ${attempt} ended early`);
			return;
		}

		const letters = [...run.letters].map(([letter, count]) => `${letter}=${count}`).join(' ');
		this.record.write(id, `ran ${attempt}: ${run.bytes} bytes ${run.digest} ${letters}`);
		await wait(workMs);
		if (this.garble?.(request.socket, attempt)) {
			this.answerCount++;
			this.faultCount++;
			this.record.write(id, `writes what isn't an answer to ${attempt}`);
		} else if (!response.headersSent) {
			this.#answer(attempt, response, 200);
		}
	}

	#answer(attempt: string, response: http.ServerResponse, status: number): void {
		this.answerCount++;
		const body = `answer to ${attempt}`;
		response.writeHead(status, {
			'X-Attempt-Id': attempt,
			'X-Server-Signature': `sig.${attempt}`,
			'Content-Length': body.length,
		});
		response.end(body);
		this.record.write(this.plan.id, `answered ${attempt} with ${status}`);
	}

	/** Reads the body of a request; false if it ends before its end. */
	async #readBody(
		run: Run,
		request: http.IncomingMessage,
		response: http.ServerResponse,
	): Promise<boolean> {
		const {bodyPlan} = this;
		const hash = createHash('sha256');
		let bytes = 0;
		return new Promise(resolve => {
			request.on('data', (chunk: Uint8Array) => {
				bytes += chunk.length;
				if (this.hasDigests) {
					hash.update(chunk);
					countLetters(run.letters, chunk);
				}

				if (
					bodyPlan.kind === 'early' &&
					request.method === 'POST' &&
					run.path.includes('early') &&
					bytes >= bodyPlan.afterBytes &&
					!response.headersSent
				) {
					this.faultCount++;
					this.#answer(run.id, response, 413);
				}

				if (bodyPlan.kind === 'slow') {
					request.pause();
					setTimeout(
						() => {
							request.resume();
						},
						(chunk.length * 1000) / bodyPlan.bytesPerSecond,
					);
				}
			});
			request.on('end', () => {
				run.bytes = bytes;
				run.digest = hash.digest('hex').slice(0, 16);
				resolve(true);
			});
			request.on('error', () => {
				resolve(false);
			});
			request.on('close', () => {
				resolve(false);
			});
		});
	}
}

function countLetters(letters: Map<string, number>, chunk: Uint8Array): void {
	const counts = new Uint32Array(256);
	for (const byte of chunk) {
		counts[byte]!++;
	}

	for (const [byte, count] of counts.entries()) {
		if (count > 0) {
			const letter = String.fromCodePoint(byte);
			letters.set(letter, (letters.get(letter) ?? 0) + count);
		}
	}
}

/** Sends a message to a sidecar's control address; resolves to the status, 0 without an answer. */
export async function postToControl(port: number, path: string, body: string): Promise<number> {
	return new Promise(resolve => {
		const headers = {'content-type': 'application/json'};
		const options = {host: '127.0.0.1', port, path, method: 'POST', headers, agent: false};
		const request = http.request({...options, timeout: 1000});
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
}
