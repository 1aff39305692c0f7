/**
 * Actions of one event, and the requests that have no response yet.
 */
import {
	type Endpoint,
	type GossipAction,
	type GossipRequest,
	type GossipResponse,
} from './messages.ts';
import {type Member} from './types.ts';

/** Why a request was sent. */
export type Exchange =
	| {readonly kind: 'ping'; readonly target: Member}
	/** A ping on behalf of the daemon whose request has the id `askedBy`. */
	| {readonly kind: 'relayedPing'; readonly target: Member; readonly askedBy: number}
	/** A request to a helper to ping the target. */
	| {readonly kind: 'probe'; readonly round: ProbeRound}
	| {readonly kind: 'push'}
	| {readonly kind: 'survey'}
	| {readonly kind: 'sync'; readonly roundsLeft: number}
	/** A ping to the instance that claims the own server's name. */
	| {readonly kind: 'rival'; readonly rival: Member};

/** Helpers at work on one member that did not answer. */
export type ProbeRound = {
	readonly target: Member;
	waiting: number;
	responses: number;
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

	readonly #open = new Map<number, Exchange>();
	#actions: GossipAction[] = [];

	private constructor(private nextId: number) {}

	/** Sends a request and keeps why it was sent until it is settled. */
	send(to: Endpoint, request: GossipRequest, exchange: Exchange, timeoutMs: number): void {
		const exchangeId = this.nextId;
		this.nextId++;
		this.#open.set(exchangeId, exchange);
		const {address, peerPort} = to;
		this.#actions.push({kind: 'send', exchangeId, to: {address, peerPort}, request, timeoutMs});
	}

	respond(exchangeId: number, response: GossipResponse): void {
		this.#actions.push({kind: 'respond', exchangeId, response});
	}

	add(action: GossipAction): void {
		this.#actions.push(action);
	}

	/** Removes and returns an exchange; undefined when it was settled before. */
	settle(exchangeId: number): Exchange | undefined {
		const exchange = this.#open.get(exchangeId);
		this.#open.delete(exchangeId);
		return exchange;
	}

	/** Forgets the open exchanges, after the process stood still. */
	reset(): void {
		this.#open.clear();
	}

	/** Returns the actions since the last call. */
	releaseActions(): GossipAction[] {
		const actions = this.#actions;
		this.#actions = [];
		return actions;
	}
}
