/**
 * Calls of control procedures on peers.
 */
import {createTRPCClient, type TRPCClient} from '@trpc/client';
import {httpLink} from '@trpc/client/links/httpLink';
import {ResultAsync} from 'neverthrow';
import {headerNames} from '../../call/headers.ts';
import {createPool, type HttpPool} from '../../http/pool.ts';
import {type Endpoint, type GossipRequest, type GossipResponse} from '../../membership/messages.ts';
import {readMonotonicMs} from '../clock.ts';
import {ControlError} from '../errors.ts';
import {controlPath, type ControlRouter} from './control-router.ts';
import {type PackedPolicy} from './packed-policy.ts';

/** The next ping to the same peer comes long after, so connections are closed early. */
const keepAliveMs = 1000;
const connectTimeoutMs = 400;
const fetchTimeoutMs = 3000;
/** Time without a call after which a peer's client is closed. */
const idleClientMs = 5000;

type FetchInit = {
	readonly method?: string | undefined;
	readonly headers?: unknown;
	readonly body?: unknown;
	readonly signal?: AbortSignal | undefined;
};

type PeerClient = {
	readonly client: TRPCClient<ControlRouter>;
	readonly pool: HttpPool;
	usedAtMs: number;
};

export class ControlClient {
	/**
	 * @example
	 * const client = ControlClient.create(settings.keys.peer);
	 */
	static create(peerKey: string): ControlClient {
		return new ControlClient(peerKey);
	}

	readonly #peers = new Map<string, PeerClient>();

	private constructor(private readonly peerKey: string) {}

	/** Sends a gossip request and waits for the answer. */
	exchange(
		to: Endpoint,
		gossipRequest: GossipRequest,
		timeoutMs: number,
	): ResultAsync<GossipResponse, ControlError> {
		const signal = AbortSignal.timeout(timeoutMs);
		const answer = this.#openClient(to).exchange.mutate(gossipRequest, {signal});
		return ResultAsync.fromPromise(answer, error => convertError('exchange', error));
	}

	/** Reads the policy version that a peer has in force. */
	readPolicy(from: Endpoint): ResultAsync<PackedPolicy, ControlError> {
		const signal = AbortSignal.timeout(fetchTimeoutMs);
		const answer = this.#openClient(from).policy.query(undefined, {signal});
		return ResultAsync.fromPromise(answer, error => convertError('policy', error));
	}

	/** Closes the clients that had no call for a while. */
	prune(): void {
		const nowMs = readMonotonicMs();
		for (const [origin, peer] of this.#peers) {
			if (nowMs - peer.usedAtMs >= idleClientMs) {
				this.#peers.delete(origin);
				void peer.pool.close();
			}
		}
	}

	async close(): Promise<void> {
		const peers = [...this.#peers.values()];
		this.#peers.clear();
		await Promise.all(peers.map(async peer => peer.pool.destroy()));
	}

	#openClient(endpoint: Endpoint): TRPCClient<ControlRouter> {
		const origin = `http://${endpoint.address}:${endpoint.peerPort}`;
		const known = this.#peers.get(origin);
		if (known) {
			known.usedAtMs = readMonotonicMs();
			return known.client;
		}

		const pool = createPool(origin, {
			connections: 2,
			keepAliveTimeout: keepAliveMs,
			keepAliveMaxTimeout: keepAliveMs,
			connectTimeout: connectTimeoutMs,
		});
		const client = this.#createClient(origin, pool);
		this.#peers.set(origin, {client, pool, usedAtMs: readMonotonicMs()});
		return client;
	}

	#createClient(origin: string, pool: HttpPool): TRPCClient<ControlRouter> {
		return createTRPCClient<ControlRouter>({
			links: [
				httpLink({
					url: `${origin}${controlPath}`,
					headers: {[headerNames.peerKey]: this.peerKey},
					fetch: async (url, init) =>
						sendRequest(pool, String(url).slice(origin.length), (init ?? {}) as FetchInit),
				}),
			],
		});
	}
}

/** Sends one request in the way that trpc's link expects of a fetch function. */
async function sendRequest(pool: HttpPool, path: string, init: FetchInit) {
	const answer = await pool.request({
		path,
		method: init.method === 'POST' ? 'POST' : 'GET',
		headers: init.headers as Record<string, string>,
		body: typeof init.body === 'string' ? init.body : null,
		signal: init.signal ?? null,
	});
	return {ok: answer.statusCode < 400, json: async () => answer.body.json()};
}

function convertError(procedure: string, error: unknown): ControlError {
	return ControlError.create(procedure, (error as Error).message);
}
