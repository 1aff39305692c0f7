/** State of the local backend server, as known from its messages. */
import {readSuspendedMs} from '../suspension-clock.ts';
import {type MemberState, type ServerAnswerHead, type ServerMessage} from '../types.ts';
import {
	type LocalServerState,
	type ServerExpectation,
	type ServerFacts,
	type ServerStart,
	type ServerWitness,
} from './local-server-state.ts';
import {type Judgement} from './message-judgement.ts';
import {ServerTracker} from './server-tracker.ts';
import {RequestPacer} from './request-pacer.ts';

/** A server is considered down after this long without a message; heartbeats may be seconds late. */
const heartbeatTimeoutMs = 6000;
/**
 * Share of the server's slots that the guard uses. Servers slow down when nearly full, so filling the last
 * slots would reduce the throughput.
 */
const usedSlotShare = 0.94;
/** Share of the drain time in which a leaving server still gets requests; the rest covers delays. */
const drainUsedShare = 0.5;

/** Tracks the server at one address across starts, shutdowns and crashes. */
export class LocalServer {
	/**
	 * @param drainMs - time for which a leaving server may get requests
	 * @param expected - what the settings say of the server
	 * @param readSuspended - time for which this process has been suspended, in milliseconds
	 * @example
	 * const server = LocalServer.create(2500, expected);
	 */
	static create(
		drainMs: number,
		expected: ServerExpectation,
		readSuspended = readSuspendedMs,
	): LocalServer {
		return new LocalServer(drainMs, expected, readSuspended);
	}

	/** Paces the requests while the server names a limit. */
	readonly pacer = RequestPacer.create();
	readonly #tracker: ServerTracker;

	private constructor(
		private readonly drainMs: number,
		expected: ServerExpectation,
		private readonly readSuspended: () => number,
	) {
		this.#tracker = ServerTracker.create(drainMs, expected, readSuspended);
	}

	get state(): LocalServerState | undefined {
		return this.#tracker.state;
	}

	/** Maximum number of requests that run at a time. */
	get limit(): number {
		return Math.max(1, Math.floor((this.state?.slots ?? 0) * usedSlotShare));
	}

	/**
	 * Applies a message if it is believed.
	 *
	 * @returns what was decided; an unconfirmed message has changed nothing yet, see `settle`
	 */
	apply(message: ServerMessage, nowMs: number): Judgement {
		return this.#resetPace(() => this.#tracker.apply(message, nowMs));
	}

	/** Decides on an unconfirmed message by what the server itself says, and applies it if it is believed. */
	settle(message: ServerMessage, witness: ServerWitness, nowMs: number): Judgement {
		return this.#resetPace(() => this.#tracker.settle(message, witness, nowMs));
	}

	/** Marks the server as down until its next report: its address does not respond, or another server does. */
	setUnreachable(): void {
		this.#tracker.setUnreachable();
	}

	/** Records what an earlier process of this sidecar announced of its server. */
	setFormer(facts: ServerFacts): void {
		this.#tracker.setFormer(facts);
	}

	/** Restores what is known after a restart of the sidecar, unless the server has reported in the meantime. */
	restore(facts: ServerFacts, nowMs: number): void {
		this.#tracker.restore(facts, nowMs);
	}

	/** Restores that a server is leaving, as an earlier process of this sidecar acknowledged. */
	restoreLeave(start: ServerStart, nowMs: number): void {
		this.#tracker.restoreLeave(start, nowMs);
	}

	/** Computes the use of the slots, or of the server's own limit by waiting requests; above 1, requests wait. */
	computeUtilization(
		{running, waiting}: {readonly running: number; readonly waiting: number},
		serviceMs: number,
	): number {
		const paced = Math.min(this.limit, this.pacer.computeConcurrency(serviceMs));
		return running / this.limit + waiting / Math.max(1, paced);
	}

	/** Estimates how long a request waits behind others that are queued. */
	estimateWaitMs(ahead: number, serviceMs: number, nowMs: number): number {
		const slotWaitMs = ((ahead + 1) * serviceMs) / this.limit;
		return Math.max(slotWaitMs, this.pacer.computeDelayMs(nowMs, ahead));
	}

	/**
	 * Applies what a server says of itself in the head of an answer.
	 *
	 * @param request - the server that the request was sent to, and when; another one may use the address since
	 */
	recordAnswerHead(
		head: Pick<ServerAnswerHead, 'isMisdirected' | 'isNotRun' | 'isLeaving' | 'limit'>,
		{serverId, sentAtMs}: {readonly serverId: string; readonly sentAtMs: number},
		nowMs: number,
	): void {
		if (head.isMisdirected || serverId !== this.state?.id) {
			return;
		}

		// A server that turns requests away may do so before it knows its limit.
		const isSilent = head.isNotRun && head.limit.kind === 'none';
		if (!isSilent) {
			this.pacer.recordNamed(head.limit, sentAtMs, nowMs);
		}

		if (head.isLeaving) {
			this.#tracker.recordLeaveAnswer(nowMs);
		}
	}

	/** Records an answer of a server: one whose reports are late or lost is not down while it answers. */
	recordAnswer(serverId: string, nowMs: number): void {
		this.#tracker.recordAnswer(serverId, nowMs);
	}

	readState(nowMs: number): MemberState {
		const {state} = this;
		if (
			state === undefined ||
			state.isUnreachable ||
			nowMs - state.lastMessageAtMs > heartbeatTimeoutMs
		) {
			return 'down';
		}

		return state.leavingSinceMs === undefined ? 'ready' : 'leaving';
	}

	/** Whether requests may be sent to the server now. */
	canAcceptRequests(nowMs: number): boolean {
		const {leavingSinceMs = 0, suspendedBeforeMs = 0} = this.state ?? {};
		switch (this.readState(nowMs)) {
			case 'ready': {
				return true;
			}

			case 'leaving': {
				const suspendedMs = this.readSuspended() - suspendedBeforeMs;
				return nowMs - leavingSinceMs + suspendedMs < this.drainMs * drainUsedShare;
			}

			case 'down': {
				return false;
			}
		}
	}

	/** Finds why the server can't run a request that is addressed to a service and a server id. */
	findRefusal(
		target: {readonly service: string; readonly serverId: string},
		nowMs: number,
	): 'wrongServer' | 'leaving' | 'unreachable' | undefined {
		const {state} = this;
		if (state?.id !== target.serverId || state.service !== target.service) {
			return 'wrongServer';
		}

		if (this.canAcceptRequests(nowMs)) {
			return undefined;
		}

		return this.readState(nowMs) === 'leaving' ? 'leaving' : 'unreachable';
	}

	/** Resets the pace if a change begins another start of the server: its limit is not known yet. */
	#resetPace(change: () => Judgement): Judgement {
		const before = this.state;
		const judgement = change();
		const {state} = this;
		const isSameStart =
			before?.id === state?.id &&
			(!before?.startedAtMs || before.startedAtMs === state?.startedAtMs);
		if (!isSameStart) {
			this.pacer.reset();
		}

		return judgement;
	}
}
