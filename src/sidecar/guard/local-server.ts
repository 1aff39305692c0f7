/** State of the local backend server, as known from its messages. */
import {readSuspendedMs} from '../suspension-clock.ts';
import {type MemberState, type ServerAnswerHead, type ServerMessage} from '../types.ts';
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

export type LocalServerState = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	/** Start of the server, in Unix milliseconds; 0 until the server has reported it. */
	readonly startedAtMs: number;
	readonly sequence: number;
	/** When the last message arrived, on the monotonic clock. */
	readonly lastMessageAtMs: number;
	/** When the server's leaving was acknowledged, on the monotonic clock. */
	readonly leavingSinceMs: number | undefined;
	/** Time for which the process had been suspended by then. */
	readonly suspendedBeforeMs: number;
	readonly hasLeft: boolean;
	readonly isUnreachable: boolean;
};

/** One start of a server. */
export type ServerStart = {readonly id: string; readonly startedAtMs: number};

/** Whether a report is of another server, or of another start of the same one; 0 is a start that isn't known. */
function isOtherStart(known: ServerStart, report: ServerStart): boolean {
	return (
		known.id !== report.id || (known.startedAtMs !== 0 && known.startedAtMs !== report.startedAtMs)
	);
}

/** Tracks the server at one address across starts, shutdowns and crashes. */
export class LocalServer {
	/**
	 * @param drainMs - time for which a leaving server may get requests
	 * @param readSuspended - time for which this process has been suspended, in milliseconds
	 * @example
	 * const server = LocalServer.create(2500);
	 */
	static create(drainMs: number, readSuspended = readSuspendedMs): LocalServer {
		return new LocalServer(drainMs, readSuspended);
	}

	/** Paces the requests while the server names a limit. */
	readonly pacer = RequestPacer.create();
	#state: LocalServerState | undefined;
	/** A server that an earlier process of this sidecar knew to be leaving. */
	#formerLeave: ServerStart | undefined;

	private constructor(
		private readonly drainMs: number,
		private readonly readSuspended: () => number,
	) {}

	get state(): LocalServerState | undefined {
		return this.#state;
	}

	/** Maximum number of requests that run at a time. */
	get limit(): number {
		return Math.max(1, Math.floor((this.#state?.slots ?? 0) * usedSlotShare));
	}

	/**
	 * Applies a message of the server.
	 *
	 * @returns false when the message is outdated or of another server and was ignored
	 */
	apply(message: ServerMessage, nowMs: number): boolean {
		switch (message.kind) {
			case 'report': {
				const {report} = message;
				if (this.#isOlder(report)) {
					return false;
				}

				const known = this.#state;
				const isSame =
					known !== undefined &&
					!isOtherStart(known, report) &&
					!(known.startedAtMs === 0 && this.#hasStartedAgain(report));
				if (!isSame) {
					this.pacer.reset();
				}

				const leavingSinceMs = isSame ? known.leavingSinceMs : undefined;
				const isLeaving = report.isLeaving || this.#hasLeftBefore(report);
				this.#state = {
					id: report.id,
					service: report.service,
					slots: report.slots,
					startedAtMs: report.startedAtMs,
					sequence: report.sequence,
					lastMessageAtMs: nowMs,
					leavingSinceMs: leavingSinceMs ?? (isLeaving ? nowMs : undefined),
					suspendedBeforeMs:
						leavingSinceMs === undefined ? this.readSuspended() : known!.suspendedBeforeMs,
					hasLeft: isSame && known.hasLeft,
					isUnreachable: false,
				};
				return true;
			}

			case 'leave': {
				return this.#applyLeave(message, nowMs);
			}
		}
	}

	/** Marks the server as down until its next report: its address does not respond, or another server does. */
	setUnreachable(): void {
		if (this.#state !== undefined) {
			this.#state = {...this.#state, isUnreachable: true};
		}
	}

	/** Restores the state after a restart of the sidecar, unless the server has reported in the meantime. */
	restore(known: {id: string; service: string; slots: number}, nowMs: number): void {
		this.#state ??= {
			...known,
			startedAtMs: 0,
			sequence: 0,
			lastMessageAtMs: nowMs,
			leavingSinceMs: undefined,
			suspendedBeforeMs: 0,
			hasLeft: false,
			isUnreachable: false,
		};
	}

	/**
	 * Restores that a server is leaving, as an earlier process of this sidecar acknowledged: a late report of the
	 * same start must not bring it back into use.
	 */
	restoreLeave(start: ServerStart, nowMs: number): void {
		this.#formerLeave = start;
		const state = this.#state;
		if (state === undefined || state.leavingSinceMs !== undefined) {
			return;
		}

		// The start of a server that was identified by a probe is not known before its first report.
		const mayBeStart = state.startedAtMs === 0 && state.id === start.id;
		if (mayBeStart || this.#hasLeftBefore(state)) {
			this.#setLeaving(nowMs);
		}
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
		if (head.isMisdirected || serverId !== this.#state?.id) {
			return;
		}

		// A server that turns requests away may do so before it knows its limit.
		const isSilent = head.isNotRun && head.limit.kind === 'none';
		if (!isSilent) {
			this.pacer.recordNamed(head.limit, sentAtMs, nowMs);
		}

		if (head.isLeaving) {
			this.#setLeaving(nowMs);
		}
	}

	/** Records an answer of the server: one whose reports are late or lost is not down while it answers. */
	recordAnswer(nowMs: number): void {
		if (this.#state !== undefined) {
			this.#state = {...this.#state, lastMessageAtMs: nowMs};
		}
	}

	readState(nowMs: number): MemberState {
		const state = this.#state;
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
		const {leavingSinceMs = 0, suspendedBeforeMs = 0} = this.#state ?? {};
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
		const state = this.#state;
		if (state?.id !== target.serverId || state.service !== target.service) {
			return 'wrongServer';
		}

		if (this.canAcceptRequests(nowMs)) {
			return undefined;
		}

		return this.readState(nowMs) === 'leaving' ? 'leaving' : 'unreachable';
	}

	#setLeaving(nowMs: number): void {
		if (this.#state !== undefined && this.#state.leavingSinceMs === undefined) {
			const suspendedBeforeMs = this.readSuspended();
			this.#state = {...this.#state, leavingSinceMs: nowMs, suspendedBeforeMs};
		}
	}

	#applyLeave(message: ServerMessage & {kind: 'leave'}, nowMs: number): boolean {
		const state = this.#state;
		if (
			state?.id !== message.id ||
			(message.startedAtMs !== undefined && message.startedAtMs < state.startedAtMs)
		) {
			return false;
		}

		this.#setLeaving(nowMs);
		this.#state = {...this.#state!, hasLeft: true, lastMessageAtMs: nowMs};
		return true;
	}

	#hasLeftBefore({id, startedAtMs}: ServerStart): boolean {
		return this.#formerLeave?.id === id && this.#formerLeave.startedAtMs === startedAtMs;
	}

	/** Whether a report is from a later start than the one that has left. */
	#hasStartedAgain({id, startedAtMs}: ServerStart): boolean {
		return this.#formerLeave?.id === id && this.#formerLeave.startedAtMs < startedAtMs;
	}

	/** Whether a report is from an earlier start of the server or precedes the latest report of this one. */
	#isOlder(report: {id: string; startedAtMs: number; sequence: number}): boolean {
		const state = this.#state;
		if (state === undefined || state.startedAtMs === 0) {
			return false;
		}

		if (report.startedAtMs !== state.startedAtMs) {
			return report.startedAtMs < state.startedAtMs;
		}

		return report.id === state.id && report.sequence < state.sequence;
	}
}
