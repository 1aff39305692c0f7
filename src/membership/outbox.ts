/**
 * Collects the actions of one event and tracks the requests that have no response yet.
 */
import {
	type Endpoint,
	type GossipAction,
	type GossipRequest,
	type GossipResponse,
} from './messages.ts';
import {type Member} from './types.ts';

/** Purpose of a request. */
export type Exchange =
	| {readonly kind: 'ping'; readonly target: Member}
	/** A ping sent for the `probe` request with the id `probeExchangeId`. */
	| {readonly kind: 'relayedPing'; readonly target: Member; readonly probeExchangeId: number}
	/** A request that asks a helper to ping the target of an indirect probe. */
	| {readonly kind: 'probe'; readonly probe: IndirectProbe}
	| {readonly kind: 'push'}
	| {readonly kind: 'survey'}
	| {readonly kind: 'sync'; readonly roundsLeft: number}
	/** A ping to another instance that uses the local server's name. */
	| {readonly kind: 'nameConflict'; readonly conflictingInstance: Member};

/** Progress of an indirect probe of a member that did not answer a direct ping. */
export type IndirectProbe = {
	readonly target: Member;
	/** Helpers that have neither responded nor failed yet. */
	pendingCount: number;
	responseCount: number;
	isAlive: boolean;
};

export class Outbox {
	/**
	 * @example
	 * const outbox = Outbox.create(1);
	 */
	static create(firstExchangeId: number): Outbox {
		return new Outbox(firstExchangeId);
	}

	readonly #pendingExchanges = new Map<number, Exchange>();
	#actions: GossipAction[] = [];

	private constructor(private nextId: number) {}

	/** Sends a request and stores its purpose until the exchange is completed. */
	send(to: Endpoint, request: GossipRequest, exchange: Exchange, timeoutMs: number): void {
		const exchangeId = this.nextId;
		this.nextId++;
		this.#pendingExchanges.set(exchangeId, exchange);
		const {address, peerPort} = to;
		this.#actions.push({kind: 'send', exchangeId, to: {address, peerPort}, request, timeoutMs});
	}

	respond(exchangeId: number, response: GossipResponse): void {
		this.#actions.push({kind: 'respond', exchangeId, response});
	}

	addAction(action: GossipAction): void {
		this.#actions.push(action);
	}

	/**
	 * Removes and returns a pending exchange; undefined when it was completed or discarded before.
	 */
	completeExchange(exchangeId: number): Exchange | undefined {
		const exchange = this.#pendingExchanges.get(exchangeId);
		this.#pendingExchanges.delete(exchangeId);
		return exchange;
	}

	/** Discards the pending exchanges, after the process was paused. */
	discardExchanges(): void {
		this.#pendingExchanges.clear();
	}

	/** Returns the actions added since the last call and removes them. */
	drainActions(): GossipAction[] {
		const actions = this.#actions;
		this.#actions = [];
		return actions;
	}
}
