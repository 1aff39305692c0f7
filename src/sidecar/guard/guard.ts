/**
 * Admission control in front of the local backend server. Limits how many requests run at a time, queues or refuses
 * the rest, and can prove for a request that the server has not run it.
 */
import {endedExchange, type Exchange, type ExchangeListener} from '../link/exchange.ts';
import {type CallHead, type GuardLoad, type RefusalReason} from '../link/messages.ts';
import {type ServerAnswerHead} from '../types.ts';
import {type CallOutcome} from './call-owner.ts';
import {GuardedCall} from './guarded-call.ts';
import {CallRegistry} from './call-registry.ts';
import {type GuardOptions} from './guard-options.ts';
import {AdmissionQueue} from './admission-queue.ts';
import {LinkRecovery} from './link-recovery.ts';

/** Weight of one finished request in the moving average of the service time, and its initial value. */
const serviceTimeWeight = 0.03;
const initialServiceMs = 50;
const sweepIntervalMs = 100;
/** A request that this process has held for longer is refused: another server can start it sooner. */
const maxHeldMs = 50;
/** Refusals of requests whose entry does not know the current announcement. */
const outdatedViewReasons = new Set<RefusalReason>(['wrongServer', 'leaving', 'unreachable']);
/** A request that is cancelled after this long without an answer suggests a dead connection. */
const minUnansweredMs = 700;
const minUnansweredServiceTimes = 5;

export class Guard {
	/**
	 * @example
	 * const guard = Guard.create({server, pool, codec, incarnation, events, readMember});
	 */
	static create(options: GuardOptions): Guard {
		return new Guard(options);
	}

	/** Calls that wait, run, or have ended recently. */
	readonly calls = CallRegistry.create();
	/** Moving average of the service time over all routes. */
	meanServiceMs = initialServiceMs;
	isStopping = false;

	readonly #queue = AdmissionQueue.create<GuardedCall>();
	readonly #recovery: LinkRecovery;
	#running = 0;
	/** Whether a request that is answered within a time is answered before this process ends; set once it stops. */
	#canFinish: ((boundMs: number) => boolean) | undefined;
	readonly #timer: NodeJS.Timeout;

	private constructor(private readonly options: GuardOptions) {
		this.#recovery = LinkRecovery.create({
			calls: this.calls,
			incarnation: options.incarnation,
			removeWaiting: call => {
				this.#queue.remove(call);
			},
		});
		this.#timer = setInterval(() => {
			this.#sweep();
		}, sweepIntervalMs);
		this.#timer.unref();
	}

	readLoad(): GuardLoad {
		const {limit, pacer} = this.options.server;
		const pace = {limit: pacer.limit, fill: pacer.computeFill(performance.now())};
		return {running: this.#running, waiting: this.#queue.length, limit, pace};
	}

	/** Running and waiting requests. */
	countActive(): number {
		return this.#running + this.#queue.length;
	}

	/**
	 * Starts a request, queues it, or refuses it at once.
	 *
	 * @param heldMs - time since the request was read, for which this process was busy with other work
	 */
	submit(head: CallHead, body: Uint8Array, listener: ExchangeListener, heldMs = 0): Exchange {
		const reason = this.#findRefusal(head);
		if (reason !== undefined) {
			const isViewOutdated = this.#canFinish !== undefined || outdatedViewReasons.has(reason);
			const member = isViewOutdated ? this.options.readMember() : undefined;
			listener.handleRefusal({reason, member});
			return endedExchange;
		}

		const call = GuardedCall.create(head, body, listener, this.#createCallOwner());
		this.calls.add(call);
		const {server, events} = this.options;
		events.handleArrival(head, server.computeUtilization(this.readLoad(), this.meanServiceMs));
		const nowMs = performance.now();
		const isPaced = server.pacer.computeDelayMs(nowMs) > 0;
		const ahead = this.#queue.countAhead(call);
		if (heldMs > maxHeldMs) {
			call.refuse('busy');
		} else if (this.#running < server.limit && this.#queue.length === 0 && !isPaced) {
			this.#start(call);
		} else if (isPaced && !head.isPatient) {
			call.refuse('limited');
		} else if (server.estimateWaitMs(ahead, this.meanServiceMs, nowMs) > call.maxWaitMs) {
			call.refuse('full');
		} else {
			this.#queue.add(call);
		}

		return call;
	}

	/** Reports the outcome of an earlier request to a listener on a new link; see `LinkRecovery`. */
	resume(nonce: string, incarnation: string, listener: ExchangeListener): Exchange {
		return this.#recovery.resume(nonce, incarnation, listener);
	}

	handleLinkLost(nonce: string, listener: ExchangeListener): void {
		this.#recovery.handleLinkLost(nonce, listener);
	}

	/** Refuses from now on what can't be answered in time, also of what waits. */
	setDraining(canFinish: (boundMs: number) => boolean): void {
		this.#canFinish = canFinish;
		const nowMs = performance.now();
		const isLate = (call: GuardedCall) => !canFinish(call.computeRemainingMs(nowMs));
		for (const call of this.#queue.removeWhere(call => isLate(call))) {
			call.refuse('late');
		}
	}

	/** Refuses all requests from now on, and those that wait. */
	setStopping(): void {
		this.isStopping = true;
		this.refuseWaiting('stopping');
	}

	/** Ends the calls that are left, so that their entries learn it at once. */
	endCalls(): void {
		this.refuseWaiting('stopping');
		for (const call of this.calls.listRunning()) {
			call.cancel();
		}
	}

	/** Refuses all waiting requests, for example when another server has taken over the address. */
	refuseWaiting(reason: RefusalReason): void {
		for (const call of this.#queue.removeWhere(() => true)) {
			call.refuse(reason);
		}
	}

	#findRefusal(head: CallHead): RefusalReason | undefined {
		if (this.calls.isRevoked(head.nonce)) {
			return 'forgotten';
		}

		if (this.isStopping || this.#canFinish?.(head.remainingMs) === false) {
			return this.isStopping ? 'stopping' : 'late';
		}

		const nowMs = performance.now();
		const reason = this.options.server.findRefusal(head, nowMs);
		if (reason === undefined && head.serverLimitPerSecond > 0) {
			this.options.server.pacer.recordHint(head.serverLimitPerSecond, nowMs);
		}

		return reason;
	}

	#start(call: GuardedCall): void {
		const isQuarantined = this.options.isQuarantined(call.head.digest);
		if (isQuarantined || !this.calls.tryStart(call)) {
			call.refuse(isQuarantined ? 'quarantined' : 'forgotten');
			return;
		}

		const nowMs = performance.now();
		this.#running++;
		this.options.server.pacer.recordSend(nowMs);
		this.options.events.handleStart(call.head);
		call.start(call.head.serverId, nowMs);
	}

	#startQueuedLater(): void {
		this.options.runQueue.submit(() => {
			this.#startQueued();
		});
	}

	#startQueued(): void {
		while (this.#queue.length > 0 && this.#running < this.options.server.limit) {
			const nowMs = performance.now();
			if (this.options.server.pacer.computeDelayMs(nowMs) > 0) {
				return;
			}

			const call = this.#queue.removeFirst()!;
			if (!this.options.server.canAcceptRequests(nowMs) || this.isStopping) {
				call.refuse(this.isStopping ? 'stopping' : 'leaving');
			} else if (call.computeRemainingMs(nowMs) < this.meanServiceMs / 2) {
				call.refuse('late');
			} else {
				this.#start(call);
			}
		}
	}

	#createCallOwner() {
		const {codec, pool, server, readSuspended, checkEnded} = this.options;
		return {
			codec,
			readSuspended,
			checkEnded,
			acquireConnection: (requestId: string, isOnce: boolean) => pool.acquire(requestId, isOnce),
			handleHead(head: ServerAnswerHead, request: {serverId: string; sentAtMs: number}) {
				server.recordAnswerHead(head, request, performance.now());
			},
			handleEnded: (call: GuardedCall, outcome: CallOutcome) => {
				this.#handleEnded(call, outcome);
			},
		};
	}

	#handleEnded(call: GuardedCall, outcome: CallOutcome): void {
		switch (outcome.kind) {
			case 'answered': {
				this.#releaseSlot(call, true);
				if (!outcome.head.isNotRun) {
					this.meanServiceMs += (outcome.ranMs - this.meanServiceMs) * serviceTimeWeight;
				}

				break;
			}

			case 'failed': {
				this.#releaseSlot(call, outcome.hasSent);
				if (!outcome.hasSent) {
					this.options.events.handleUnreachable();
				}

				break;
			}

			case 'cancelled': {
				if (outcome.mayHaveRun) {
					this.#releaseSlot(call, true);
					this.#closeSuspectConnections(outcome.ranMs);
				} else {
					this.#queue.remove(call);
				}

				break;
			}

			case 'refused': {
				break;
			}
		}

		this.calls.removeOrphan(call);
		this.options.events.handleOutcome(call, outcome);
		queueMicrotask(() => {
			this.#startQueuedLater();
		});
	}

	#releaseSlot(call: GuardedCall, mayHaveRun: boolean): void {
		this.#running--;
		this.calls.recordEnd(call, mayHaveRun);
	}

	/** Closes connections idle since before an unanswered request: they may be dead like the one it used. */
	#closeSuspectConnections(ranMs: number): void {
		if (ranMs > Math.max(minUnansweredMs, this.meanServiceMs * minUnansweredServiceTimes)) {
			this.options.pool.closeIdleBefore(performance.now() - ranMs);
		}
	}

	/**
	 * Cancels expired orphans, removes old outcomes, refuses requests that have waited too long, and starts those that
	 * wait for the server's own limit.
	 */
	#sweep(): void {
		const nowMs = performance.now();
		for (const call of this.calls.listExpiredOrphans(nowMs)) {
			call.cancel();
		}

		this.calls.removeExpired(nowMs);
		for (const call of this.#queue.removeWhere(each => nowMs - each.arrivedAtMs > each.maxWaitMs)) {
			call.refuse('late');
		}

		this.#startQueuedLater();
	}
}
