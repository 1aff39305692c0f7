/**
 * The only way to the backend server: admits requests, bounds what runs there, and can prove of a
 * request that it was not run.
 */
import {endedExchange, type Exchange, type ExchangeListener} from '../link/exchange.ts';
import {type CallHead, type GuardLoad, type RefusalReason} from '../link/messages.ts';
import {type HeadCodec, type Member} from '../types.ts';
import {type CallConnection, type CallOutcome, GuardedCall} from './guarded-call.ts';
import {CallRegistry} from './call-registry.ts';
import {type LocalServer} from './local-server.ts';
import {WaitingLine} from './waiting-line.ts';

/** Smoothing of the mean time at the server, per finished request. */
const serviceTimeWeight = 0.03;
/** First guess of the time at the server, before anything was measured. */
const initialServiceMs = 50;
const sweepMs = 100;
/** A request that was cancelled after so long without an answer puts idle connections in doubt. */
const minSilenceMs = 700;
const silenceFactor = 5;

export type GuardEvents = {
	/** A request arrives and finds this share of the slots in use; above 1 others wait. */
	handleArrival(head: CallHead, use: number): void;
	/** A request goes to the server. */
	handleStart(head: CallHead): void;
	/** The server does not accept connections. */
	handleUnreachable(): void;
	handleOutcome(call: GuardedCall, outcome: CallOutcome): void;
};

export type GuardOptions = {
	readonly server: LocalServer;
	readonly pool: {
		acquire(requestId: string, isOnce: boolean): CallConnection;
		closeIdleBefore(momentMs: number): void;
	};
	readonly codec: HeadCodec;
	readonly incarnation: string;
	readonly events: GuardEvents;
	/** The member that this guard announces at present. */
	readMember(): Member | undefined;
};

export class Guard {
	/**
	 * @example
	 * const guard = Guard.create({server, pool, codec, incarnation, events, readMember});
	 */
	static create(options: GuardOptions): Guard {
		return new Guard(options);
	}

	/** Time at the server of all kinds of requests, smoothed. */
	serviceMs = initialServiceMs;
	isStopping = false;

	readonly #line = WaitingLine.create<GuardedCall>();
	readonly #calls = CallRegistry.create();
	#running = 0;
	readonly #timer: NodeJS.Timeout;

	private constructor(private readonly options: GuardOptions) {
		this.#timer = setInterval(() => {
			this.#sweep();
		}, sweepMs);
		this.#timer.unref();
	}

	readLoad(): GuardLoad {
		return {
			running: this.#running,
			waiting: this.#line.length,
			limit: this.options.server.limit,
		};
	}

	/** Requests that have not been answered yet. */
	countActive(): number {
		return this.#running + this.#line.length;
	}

	/** Takes a request: runs it, lets it wait, or refuses it at once. */
	accept(head: CallHead, body: Uint8Array, listener: ExchangeListener): Exchange {
		const reason = this.#findRefusal(head);
		if (reason !== undefined) {
			const isOutdated =
				reason === 'wrongServer' || reason === 'leaving' || reason === 'unreachable';
			const member = isOutdated ? this.options.readMember() : undefined;
			listener.handleRefusal({reason, member});
			return endedExchange;
		}

		const call = GuardedCall.create(head, body, listener, this.#createOwner());
		this.#calls.add(call);
		const {limit} = this.options.server;
		this.options.events.handleArrival(head, (this.#running + this.#line.length) / limit);
		if (this.#running < limit && this.#line.length === 0) {
			this.#start(call);
			return call;
		}

		if (this.#estimateWaitMs(call, limit) > call.maxWaitMs) {
			call.refuse('full');
			return call;
		}

		this.#line.add(call);
		return call;
	}

	/** Tells a listener on a new connection what became of a request. */
	resume(nonce: string, incarnation: string, listener: ExchangeListener): Exchange {
		const call = this.#calls.findCall(nonce);
		if (call !== undefined) {
			this.#calls.removeOrphan(call);
			return this.#resumeCall(call, listener);
		}

		if (incarnation !== this.options.incarnation) {
			listener.handleFailure({reason: 'the guard has restarted'});
		} else if (this.#calls.bar(nonce) === 'neverSent') {
			listener.handleRefusal({reason: 'forgotten', member: undefined});
		} else {
			listener.handleFailure({reason: 'the end of the request is not kept any more'});
		}

		return endedExchange;
	}

	/** Records that the connection over which a listener heard of a request was lost without a word. */
	orphan(nonce: string, listener: ExchangeListener): void {
		const call = this.#calls.findCall(nonce);
		if (call?.listener !== listener) {
			return;
		}

		switch (call.phase) {
			case 'waiting': {
				this.#line.remove(call);
				call.cancel();
				break;
			}

			case 'running': {
				this.#calls.addOrphan(call, performance.now());
				break;
			}

			case 'ended': {
				break;
			}
		}
	}

	/** Refuses all that wait, as when the server is gone. */
	refuseWaiting(reason: RefusalReason): void {
		for (const call of this.#line.takeWhere(() => true)) {
			call.refuse(reason);
		}
	}

	#resumeCall(call: GuardedCall, listener: ExchangeListener): Exchange {
		if (call.isStreaming) {
			call.cancel();
			listener.handleFailure({reason: 'the answer was partly sent'});
			return endedExchange;
		}

		call.attach(listener);
		return call;
	}

	#findRefusal(head: CallHead): RefusalReason | undefined {
		if (this.#calls.isBarred(head.nonce)) {
			return 'forgotten';
		}

		return this.isStopping ? 'stopping' : this.options.server.findRefusal(head, performance.now());
	}

	#estimateWaitMs(call: GuardedCall, limit: number): number {
		return ((this.#line.countBefore(call) + 1) * this.serviceMs) / limit;
	}

	#start(call: GuardedCall): void {
		if (!this.#calls.begin(call)) {
			call.refuse('forgotten');
			return;
		}

		this.#running++;
		this.options.events.handleStart(call.head);
		call.start(call.head.serverId, performance.now());
	}

	#startWaiting(): void {
		while (this.#running < this.options.server.limit) {
			const call = this.#line.take();
			if (call === undefined) {
				return;
			}

			const nowMs = performance.now();
			if (!this.options.server.canTakeWork(nowMs) || this.isStopping) {
				call.refuse(this.isStopping ? 'stopping' : 'leaving');
			} else if (call.answerByMs - nowMs < this.serviceMs / 2) {
				call.refuse('late');
			} else {
				this.#start(call);
			}
		}
	}

	#createOwner() {
		return {
			codec: this.options.codec,
			acquireConnection: (requestId: string, isOnce: boolean) =>
				this.options.pool.acquire(requestId, isOnce),
			handleEnded: (call: GuardedCall, outcome: CallOutcome) => {
				this.#handleEnded(call, outcome);
			},
		};
	}

	#handleEnded(call: GuardedCall, outcome: CallOutcome): void {
		switch (outcome.kind) {
			case 'answered': {
				this.#finish(call, true);
				if (!outcome.head.isNotRun) {
					this.serviceMs += (outcome.ranMs - this.serviceMs) * serviceTimeWeight;
				}

				break;
			}

			case 'failed': {
				this.#finish(call, outcome.hasSent);
				if (!outcome.hasSent) {
					this.options.events.handleUnreachable();
				}

				break;
			}

			case 'cancelled': {
				if (outcome.hasRun) {
					this.#finish(call, true);
					this.#checkSilence(outcome.ranMs);
				} else {
					this.#line.remove(call);
				}

				break;
			}

			case 'refused': {
				break;
			}
		}

		this.#calls.removeOrphan(call);
		this.options.events.handleOutcome(call, outcome);
		queueMicrotask(() => {
			this.#startWaiting();
		});
	}

	#finish(call: GuardedCall, mayHaveRun: boolean): void {
		this.#running--;
		this.#calls.finish(call, mayHaveRun);
	}

	/** A request that heard nothing for long may have gone into a connection that is dead, as others may be. */
	#checkSilence(ranMs: number): void {
		if (ranMs > Math.max(minSilenceMs, this.serviceMs * silenceFactor)) {
			this.options.pool.closeIdleBefore(performance.now() - ranMs);
		}
	}

	/** Forgets old ends, and gives up on requests whose entry does not come back. */
	#sweep(): void {
		const nowMs = performance.now();
		for (const call of this.#calls.listAbandoned(nowMs)) {
			call.cancel();
		}

		this.#calls.prune(nowMs);
		for (const call of this.#line.takeWhere(each => nowMs - each.arrivedAtMs > each.maxWaitMs)) {
			call.refuse('late');
		}
	}
}
