/**
 * Stand-in for a backend server: slots, service time, child calls, stalls, truncation and cancellation.
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
/** Age of the load report in milliseconds. */
const reportLagMs = 2000;
/** A caller's own name for an attempt, which the ledger keeps. */
const attemptHeader = 'x-attempt';
const bodyPieces = 10;
const contextHeader = 'primrosevalve-context';

/** One stand-in server process. */
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
	#lateLoad = 0;
	#served = 0;

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
			this.#lateLoad = this.#slots.inUse / this.#slots.count;
		}, reportLagMs).unref();
	}

	/** Requests that were served whole. */
	get served(): number {
		return this.#served;
	}

	/** Opens the port on the loopback address; returns the port. */
	async listen(): Promise<number> {
		await new Promise<void>(resolve => {
			this.#server.listen(this.#options.port, '127.0.0.1', resolve);
		});
		return (this.#server.address() as AddressInfo).port;
	}

	/** Changes settings and faults while requests run. */
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
			response.end(JSON.stringify({load: this.#behaviour.reportedLoad ?? this.#lateLoad}));
			return;
		}

		try {
			await this.#serve(request, response);
		} catch {
			response.destroy();
		}
	}

	/** Serves a request in a slot; a cancelled one gives its slot back early. */
	async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
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

			await this.#work(request, response, body, cancel.signal);
		} finally {
			this.#slots.release();
		}
	}

	async #work(
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

		await this.#waitServiceTime(route, signal);
		for (const call of route.calls ?? []) {
			const status = await this.#sendChild(call, request, signal);
			if (status >= 500) {
				response.writeHead(502, {'content-type': 'application/json'});
				response.end(JSON.stringify({failed: `${call.service}${call.path}`, status}));
				return;
			}
		}

		this.#answer(route, request, response, body);
	}

	#findRoute(request: IncomingMessage): Route | undefined {
		return this.#options.routes.find(
			route => route.method === request.method && request.url?.startsWith(route.path),
		);
	}

	async #waitServiceTime(route: Route, signal: AbortSignal): Promise<void> {
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

	/** Makes a child call through the daemon's local port, echoing the opaque context. */
	async #sendChild(
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

	#answer(
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
			// Without a length only the missing last chunk tells that the body is cut.
			response.writeHead(200, headers);
			response.write(content.subarray(0, Math.ceil(content.length / 2)), () => {
				response.destroy();
			});
			return;
		}

		response.writeHead(200, {...headers, 'content-length': content.length});
		void this.#sendBody(route, response, content);
	}

	/** Sends the body at once, or piece by piece. */
	async #sendBody(route: Route, response: ServerResponse, content: Uint8Array): Promise<void> {
		const pieceBytes = Math.ceil(content.length / bodyPieces);
		const pauseMs = (route.sendMs ?? 0) / bodyPieces;
		if (pauseMs > 0) {
			for (let sent = 0; sent < content.length; sent += pieceBytes) {
				response.write(content.subarray(sent, sent + pieceBytes));
				await wait(pauseMs);
			}

			response.end();
		} else {
			response.end(content);
		}

		this.#served++;
	}

	/** Control of the stand-in itself: behaviour, ledger and counts. */
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
				served: this.#served,
				inUse: this.#slots.inUse,
				waiting: this.#slots.waiting,
			}),
		);
	}
}

/** Lists the headers of the control layer that reached the server. */
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
