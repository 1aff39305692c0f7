/** What the guard knows of the backend server beside it. */
import {type MemberState, type ServerMessage} from '../types.ts';

/** Heartbeats may come some seconds late; a server that says nothing for longer is taken as down. */
const silentAfterMs = 6000;
/**
 * Share of the server's slots that the guard fills. Servers slow down when they are nearly full, so
 * the last slots cost more than they bring.
 */
const usedSlotShare = 0.94;
/** Share of the drain bound for which a leaving server still gets work; the rest covers delays. */
const drainUsedShare = 0.5;

export type LocalServerState = {
	readonly id: string;
	readonly service: string;
	readonly slots: number;
	readonly bornMs: number;
	readonly sequence: number;
	readonly heardAtMs: number;
	/** When the leave was acknowledged, on the steady clock. */
	readonly leavingSinceMs: number | undefined;
	readonly hasLeft: boolean;
	readonly isUnreachable: boolean;
};

/** Follows the reports of one server address through starts, leaves and crashes. */
export class LocalServer {
	/**
	 * @param drainMs - time for which a leaving server may get work
	 * @example
	 * const server = LocalServer.create(2500);
	 */
	static create(drainMs: number): LocalServer {
		return new LocalServer(drainMs);
	}

	#state: LocalServerState | undefined;

	private constructor(private readonly drainMs: number) {}

	get state(): LocalServerState | undefined {
		return this.#state;
	}

	/** Requests that may run at a time. */
	get limit(): number {
		return Math.max(1, Math.floor((this.#state?.slots ?? 0) * usedSlotShare));
	}

	/**
	 * Takes a message of the server.
	 *
	 * @returns false when it is older than what is known and was ignored
	 */
	apply(message: ServerMessage, nowMs: number): boolean {
		switch (message.kind) {
			case 'report': {
				const {report} = message;
				if (this.#isOlder(report)) {
					return false;
				}

				const known = this.#state;
				const isSame = known?.id === report.id && known.bornMs === report.bornMs;
				const leavingSinceMs = isSame ? known.leavingSinceMs : undefined;
				this.#state = {
					id: report.id,
					service: report.service,
					slots: report.slots,
					bornMs: report.bornMs,
					sequence: report.sequence,
					heardAtMs: nowMs,
					leavingSinceMs: leavingSinceMs ?? (report.isLeaving ? nowMs : undefined),
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

	/** Records that the server's address does not answer. */
	setUnreachable(): void {
		if (this.#state !== undefined) {
			this.#state = {...this.#state, isUnreachable: true};
		}
	}

	/** Takes over what a health answer or the own announcement told after a restart. */
	adopt(known: {id: string; service: string; slots: number}, nowMs: number): void {
		this.#state ??= {
			...known,
			bornMs: 0,
			sequence: 0,
			heardAtMs: nowMs,
			leavingSinceMs: undefined,
			hasLeft: false,
			isUnreachable: false,
		};
	}

	readState(nowMs: number): MemberState {
		const state = this.#state;
		if (state === undefined || state.isUnreachable || nowMs - state.heardAtMs > silentAfterMs) {
			return 'down';
		}

		return state.leavingSinceMs === undefined ? 'ready' : 'leaving';
	}

	/** Whether the server may get work now. */
	canTakeWork(nowMs: number): boolean {
		const {leavingSinceMs} = this.#state ?? {};
		switch (this.readState(nowMs)) {
			case 'ready': {
				return true;
			}

			case 'leaving': {
				return nowMs - leavingSinceMs! < this.drainMs * drainUsedShare;
			}

			case 'down': {
				return false;
			}
		}
	}

	/** Why the server can't take a request that was meant for a service and a start of a server. */
	findRefusal(
		meant: {readonly service: string; readonly serverId: string},
		nowMs: number,
	): 'wrongServer' | 'leaving' | 'unreachable' | undefined {
		const state = this.#state;
		if (state?.id !== meant.serverId || state.service !== meant.service) {
			return 'wrongServer';
		}

		if (this.canTakeWork(nowMs)) {
			return undefined;
		}

		return this.readState(nowMs) === 'leaving' ? 'leaving' : 'unreachable';
	}

	#applyLeave(message: ServerMessage & {kind: 'leave'}, nowMs: number): boolean {
		const state = this.#state;
		if (
			state?.id !== message.id ||
			(message.bornMs !== undefined && message.bornMs < state.bornMs)
		) {
			return false;
		}

		const leavingSinceMs = state.leavingSinceMs ?? nowMs;
		this.#state = {...state, leavingSinceMs, hasLeft: true, heardAtMs: nowMs};
		return true;
	}

	/** A late report of an earlier start, or of an earlier moment of this one. */
	#isOlder(report: {id: string; bornMs: number; sequence: number}): boolean {
		const state = this.#state;
		if (state === undefined || state.bornMs === 0) {
			return false;
		}

		if (report.bornMs !== state.bornMs) {
			return report.bornMs < state.bornMs;
		}

		return report.id === state.id && report.sequence < state.sequence;
	}
}
