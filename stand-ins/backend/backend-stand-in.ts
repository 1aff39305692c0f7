/**
 * Stand-in for a backend server, with slots, service times, child calls, stalls, truncated answers and
 * cancellation.
 */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {Pool} from 'undici';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {RunLedger} from './run-ledger.ts';
import {Slots} from './slots.ts';
import {
	defaultBehaviour,
	type BackendBehaviour,
	type BackendOptions,
	type ChildCall,
	type Route,
} from './types.ts';

const stallPollMs = 10;
/** Time between two load samples; the load page returns the last one, as a delayed report would. */
const loadReportIntervalMs = 2000;
/** Carries the caller's name of an attempt, which the ledger stores. */
const attemptHeader = 'x-attempt';
const bodyChunkCount = 10;
const contextHeader = 'primrosevalve-context';

/** HTTP server of the backend stand-in. */
export class BackendStandIn {
	/**
	 * @example
	 * const backend = BackendStandIn.create(options);
	 * const port = await backend.listen();
	 */
	static create(options: BackendOptions): BackendStandIn {
		return new BackendStandIn(options);
	}

	readonly ledger = RunLedger.create();
	readonly #options: BackendOptions;
	readonly #server: Server;
	readonly #slots: Slots;
	readonly #random;
	#behaviour: BackendBehaviour = defaultBehaviour;
	#localPool: Pool | undefined;
	#sampledLoad = 0;
	#servedCount = 0;

	private constructor(options: BackendOptions) {
		this.#options = options;
		this.#slots = Slots.create(options.slots);
		this.#random = xoroshiro128plus(options.seed);
		this.#server = createServer((request, response) => {
			void this.#handleRequest(request, response);
		});
		this.#server.maxConnections = options.maxConnections;
		this.#server.keepAliveTimeout = 60_000;
		setInterval(() => {
			this.#sampledLoad = this.#slots.inUseCount / this.#slots.count;
		}, loadReportIntervalMs).unref();
	}

	/** Number of requests with a complete answer. */
	get servedCount(): number {
		return this.#servedCount;
	}

	/** Listens on the loopback address; resolves to the port. */
	async listen(): Promise<number> {
		await new Promise<void>(resolve => {
			this.#server.listen(this.#options.port, '127.0.0.1', resolve);
		});
		return (this.#server.address() as AddressInfo).port;
	}

	/** Changes settings and faults; running requests are affected too. */
	setBehaviour(change: Partial<BackendBehaviour>): void {
		this.#behaviour = {...this.#behaviour, ...change};
		if (change.localPort !== undefined) {
			this.#localPool = new Pool(`http://127.0.0.1:${change.localPort}`);
		}
	}

	async close(): Promise<void> {
		this.#server.closeAllConnections();
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
		await this.#localPool?.destroy();
	}

	async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url?.startsWith('/stand-in/')) {
			await this.#handleControl(request, response);
			return;
		}

		if (request.url === '/healthz') {
			response.end('ok\n');
			return;
		}

		if (request.url === '/load') {
			response.end(JSON.stringify({load: this.#behaviour.reportedLoad ?? this.#sampledLoad}));
			return;
		}

		try {
			await this.#serveRequest(request, response);
		} catch {
			response.destroy();
		}
	}

	/** Serves a request in a slot; a cancelled request releases its slot at once. */
	async #serveRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const cancel = new AbortController();
		response.once('close', () => {
			cancel.abort();
		});
		const body = await readBody(request);
		await this.#slots.acquire();
		try {
			if (cancel.signal.aborted) {
				return;
			}

			const key = request.headers['idempotency-key'];
			if (typeof key === 'string') {
				const attempt = request.headers[attemptHeader];
				this.ledger.add(key, typeof attempt === 'string' ? attempt : '');
			}

			await this.#runRoute(request, response, body, cancel.signal);
		} finally {
			this.#slots.release();
		}
	}

	async #runRoute(
		request: IncomingMessage,
		response: ServerResponse,
		body: Uint8Array,
		signal: AbortSignal,
	): Promise<void> {
		const route = this.#findRoute(request);
		if (route === undefined) {
			response.writeHead(404);
			response.end();
			return;
		}

		await this.#simulateServiceTime(route, signal);
		for (const call of route.calls ?? []) {
			const status = await this.#sendChildCall(call, request, signal);
			if (status >= 500) {
				response.writeHead(502, {'content-type': 'application/json'});
				response.end(JSON.stringify({failed: `${call.service}${call.path}`, status}));
				return;
			}
		}

		this.#sendAnswer(route, request, response, body);
	}

	#findRoute(request: IncomingMessage): Route | undefined {
		return this.#options.routes.find(
			route => route.method === request.method && request.url?.startsWith(route.path),
		);
	}

	async #simulateServiceTime(route: Route, signal: AbortSignal): Promise<void> {
		const jitter = route.jitter ?? 0;
		const factor = 1 - jitter + 2 * jitter * uniformFloat64(this.#random);
		const serviceMs = route.serviceMs * factor * this.#behaviour.slowFactor;
		if (serviceMs > 0) {
			await wait(serviceMs, undefined, {signal});
		}

		while (this.#behaviour.isStalled) {
			await wait(stallPollMs, undefined, {signal});
		}
	}

	/** Makes a child call through the daemon's local port, with the context header of the parent call. */
	async #sendChildCall(
		call: ChildCall,
		request: IncomingMessage,
		signal: AbortSignal,
	): Promise<number> {
		if (this.#localPool === undefined) {
			return 503;
		}

		const context = request.headers[contextHeader];
		const answer = await this.#localPool.request({
			method: call.method,
			path: `/${call.service}${call.path}`,
			headers: typeof context === 'string' ? {[contextHeader]: context} : {},
			signal,
		});
		await answer.body.dump();
		return answer.statusCode;
	}

	#sendAnswer(
		route: Route,
		request: IncomingMessage,
		response: ServerResponse,
		body: Uint8Array,
	): void {
		const text = JSON.stringify({
			server: this.#options.server,
			path: request.url,
			echo: Buffer.from(body.subarray(0, 1024)).toString(),
			controlHeaders: listControlHeaders(request),
		});
		const content = Buffer.alloc(Math.max(route.bytes ?? 0, text.length), ' ');
		content.write(text);
		const headers = {'content-type': 'application/json'};
		if (uniformFloat64(this.#random) < this.#behaviour.truncateShare) {
			// Without a content length, only the missing last chunk shows that the body is truncated.
			response.writeHead(200, headers);
			response.write(content.subarray(0, Math.ceil(content.length / 2)), () => {
				response.destroy();
			});
			return;
		}

		response.writeHead(200, {...headers, 'content-length': content.length});
		void this.#sendBody(route, response, content);
	}

	/** Sends the body at once, or in chunks spread over the route's `sendMs`. */
	async #sendBody(route: Route, response: ServerResponse, content: Uint8Array): Promise<void> {
		const chunkBytes = Math.ceil(content.length / bodyChunkCount);
		const pauseMs = (route.sendMs ?? 0) / bodyChunkCount;
		if (pauseMs > 0) {
			for (let sent = 0; sent < content.length; sent += chunkBytes) {
				response.write(content.subarray(sent, sent + chunkBytes));
				await wait(pauseMs);
			}

			response.end();
		} else {
			response.end(content);
		}

		this.#servedCount++;
	}

	/** Handles the control pages of the stand-in: behaviour, ledger and counts. */
	async #handleControl(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.method === 'POST' && request.url === '/stand-in/behaviour') {
			const body = await readBody(request);
			this.setBehaviour(JSON.parse(Buffer.from(body).toString()) as Partial<BackendBehaviour>);
			response.end();
			return;
		}

		if (request.url === '/stand-in/ledger') {
			response.end(JSON.stringify(this.ledger.list()));
			return;
		}

		response.end(
			JSON.stringify({
				served: this.#servedCount,
				inUse: this.#slots.inUseCount,
				waiting: this.#slots.waitingCount,
			}),
		);
	}
}

/** Lists the primrosevalve control headers of a request. */
function listControlHeaders(request: IncomingMessage): string[] {
	return Object.keys(request.headers).filter(name => name.startsWith('primrosevalve-'));
}

async function readBody(request: IncomingMessage): Promise<Uint8Array> {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request) {
		chunks.push(chunk as Uint8Array);
	}

	return Buffer.concat(chunks);
}
