/**
 * Client for the control procedures of peers.
 */
import {createTRPCClient, type TRPCClient} from '@trpc/client';
import {httpLink} from '@trpc/client/links/httpLink';
import {ResultAsync} from 'neverthrow';
import {headerNames} from '../../call/headers.ts';
import {decodeGossipResponse} from '../../membership/decode-messages.ts';
import {type Endpoint, type GossipRequest, type GossipResponse} from '../../membership/messages.ts';
import {createAgent} from '../../http/pool.ts';
import {readBodyJson} from '../../http/read-body.ts';
import {ControlError} from '../errors.ts';
import {controlPath, type ControlRouter} from './control-router.ts';
import {type PackedPolicy} from './packed-policy.ts';

/** Short, since a daemon pings the same peer again only much later. */
const idleTimeoutMs = 1000;
const connectTimeoutMs = 400;
const policyFetchTimeoutMs = 3000;
const maxClients = 64;
/** A packed policy is the longest response. */
const maxResponseBytes = 4 * 1024 * 1024;

type FetchInit = {
	readonly method?: string | undefined;
	readonly headers?: unknown;
	readonly body?: unknown;
	readonly signal?: AbortSignal | undefined;
};

export class ControlClient {
	/**
	 * @example
	 * const client = ControlClient.create(settings.keys.peer);
	 */
	static create(peerKey: string): ControlClient {
		return new ControlClient(peerKey);
	}

	readonly #agent = createAgent({
		connections: 2,
		keepAliveTimeout: idleTimeoutMs,
		keepAliveMaxTimeout: idleTimeoutMs,
		connect: {timeout: connectTimeoutMs},
	});

	readonly #clients = new Map<string, TRPCClient<ControlRouter>>();

	private constructor(private readonly peerKey: string) {}

	/** Sends a gossip request to a peer and waits for the response. */
	exchange(
		to: Endpoint,
		gossipRequest: GossipRequest,
		timeoutMs: number,
	): ResultAsync<GossipResponse, ControlError> {
		const signal = AbortSignal.timeout(timeoutMs);
		const response = this.#getClient(to)
			.exchange.mutate(gossipRequest, {signal})
			.then(value => decodeResponse(value));
		return ResultAsync.fromPromise(response, error => convertError('exchange', error));
	}

	/** Fetches the policy version that a peer has in force. */
	readPolicy(from: Endpoint): ResultAsync<PackedPolicy, ControlError> {
		const signal = AbortSignal.timeout(policyFetchTimeoutMs);
		const response = this.#getClient(from).policy.query(undefined, {signal});
		return ResultAsync.fromPromise(response, error => convertError('policy', error));
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	#getClient(endpoint: Endpoint): TRPCClient<ControlRouter> {
		const origin = `http://${endpoint.address}:${endpoint.peerPort}`;
		const existing = this.#clients.get(origin);
		if (existing) {
			return existing;
		}

		if (this.#clients.size >= maxClients) {
			this.#clients.clear();
		}

		const client = createTRPCClient<ControlRouter>({
			links: [
				httpLink({
					url: `${origin}${controlPath}`,
					headers: {[headerNames.peerKey]: this.peerKey},
					fetch: async (url, init) => this.#fetch(String(url), (init ?? {}) as FetchInit),
				}),
			],
		});
		this.#clients.set(origin, client);
		return client;
	}

	async #fetch(url: string, init: FetchInit) {
		const {origin, pathname, search} = new URL(url);
		const response = await this.#agent.request({
			origin,
			path: `${pathname}${search}`,
			method: init.method === 'POST' ? 'POST' : 'GET',
			headers: init.headers as Record<string, string>,
			body: typeof init.body === 'string' ? init.body : null,
			signal: init.signal ?? null,
		});
		return {
			ok: response.statusCode < 400,
			json: async () => readBodyJson(response.body, maxResponseBytes),
		};
	}
}

function convertError(procedure: string, error: unknown): ControlError {
	return ControlError.create(procedure, (error as Error).message);
}

/** @throws {Error} when the response is malformed; the exchange has then failed */
function decodeResponse(value: unknown): GossipResponse {
	const response = decodeGossipResponse(value);
	if (response === undefined) {
		throw new Error('gossip response is malformed');
	}

	return response;
}
