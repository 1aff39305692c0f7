/** Follows the server beside a sidecar across starts, shutdowns and crashes, by what it says and what others say of it. */
import {type ServerMessage, type ServerReport} from '../types.ts';
import {
	hasSameFacts,
	type LocalServerState,
	readFacts,
	type RivalFacts,
	type ServerExpectation,
	type ServerFacts,
	type ServerStart,
	type ServerWitness,
} from './local-server-state.ts';
import {type Judgement, judgeMessage, judgeWitness} from './message-judgement.ts';

export class ServerTracker {
	/**
	 * @param drainMs - time for which a leaving server may get requests
	 * @param expected - what the settings say of the server
	 * @param readSuspended - time for which this process has been suspended, in milliseconds
	 * @example
	 * const tracker = ServerTracker.create(2500, expected, readSuspendedMs);
	 */
	static create(
		drainMs: number,
		expected: ServerExpectation,
		readSuspended: () => number,
	): ServerTracker {
		return new ServerTracker(drainMs, expected, readSuspended);
	}

	#state: LocalServerState | undefined;
	/** A server that an earlier process of this sidecar knew to be leaving. */
	#formerLeave: ServerStart | undefined;
	/** What an earlier process of this sidecar announced. */
	#former: ServerFacts | undefined;
	/** Facts of reports that were not believed, until the known server reports again. */
	#rival: RivalFacts | undefined;

	private constructor(
		private readonly drainMs: number,
		private readonly expected: ServerExpectation,
		private readonly readSuspended: () => number,
	) {}

	get state(): LocalServerState | undefined {
		return this.#state;
	}

	/**
	 * Applies a message if it is believed.
	 *
	 * @returns what was decided; an unconfirmed message has changed nothing yet, see `settle`
	 */
	apply(message: ServerMessage, nowMs: number): Judgement {
		const judgement = judgeMessage(message, this.#createInput(nowMs));
		this.#record(message, judgement, nowMs);
		return judgement;
	}

	/** Decides on an unconfirmed message by what the server itself says, and applies it if it is believed. */
	settle(message: ServerMessage, witness: ServerWitness, nowMs: number): Judgement {
		const input = this.#createInput(nowMs);
		const first = judgeMessage(message, input);
		if (first.kind !== 'unconfirmed') {
			this.#record(message, first, nowMs);
			return first;
		}

		const judgement = judgeWitness(message, witness, input);
		if (judgement.kind === 'believed') {
			this.#clearLeave(message);
		}

		this.#record(message, judgement, nowMs);
		if (judgement.kind === 'believed') {
			this.#recordWitness(message, witness);
		}

		return judgement;
	}

	/** Marks the server as down until its next report: its address does not respond, or another server does. */
	setUnreachable(): void {
		if (this.#state !== undefined) {
			this.#state = {...this.#state, isUnreachable: true};
		}
	}

	/** Records what an earlier process of this sidecar announced of its server. */
	setFormer(facts: ServerFacts): void {
		this.#former = facts;
	}

	/** Restores the state after a restart of the sidecar, unless the server has reported in the meantime. */
	restore(facts: ServerFacts, nowMs: number): void {
		if (this.#state === undefined) {
			this.#state = {...this.#createState(facts, nowMs), isConfirmed: true};
		}
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
			this.setLeaving(nowMs);
		}
	}

	/** Records that the server leaves. */
	setLeaving(nowMs: number): void {
		if (this.#state !== undefined && this.#state.leavingSinceMs === undefined) {
			const suspendedBeforeMs = this.readSuspended();
			this.#state = {
				...this.#state,
				leavingSinceMs: nowMs,
				readyReportCount: 0,
				suspendedBeforeMs,
			};
		}
	}

	/** Records that the server has said in an answer that it leaves; no message undoes that. */
	recordLeaveAnswer(nowMs: number): void {
		this.setLeaving(nowMs);
		if (this.#state !== undefined) {
			this.#state = {...this.#state, isLeaveAnswered: true};
		}
	}

	/** Records an answer of a server: one whose reports are late or lost is not down while it answers. */
	recordAnswer(serverId: string, nowMs: number): void {
		if (this.#state?.id === serverId) {
			this.#state = {...this.#state, lastMessageAtMs: nowMs, isConfirmed: true};
		}
	}

	#createInput(nowMs: number) {
		const {drainMs, expected} = this;
		return {
			state: this.#state,
			rival: this.#rival,
			former: this.#former,
			expected,
			drainMs,
			nowMs,
		};
	}

	#record(message: ServerMessage, {kind}: Judgement, nowMs: number): void {
		if (message.kind === 'leave') {
			if (kind === 'believed') {
				this.setLeaving(nowMs);
				this.#state = {...this.#state!, lastMessageAtMs: nowMs};
			}

			return;
		}

		const {report} = message;
		switch (kind) {
			case 'believed': {
				this.#applyReport(report, nowMs);
				break;
			}

			case 'outdated': {
				// The order of the reports continues from the last one, whatever a message before it said.
				this.#state = {...this.#state!, sequence: report.sequence};
				break;
			}

			case 'unconfirmed':
			case 'refused': {
				const facts = readFacts(report);
				const isKnownRival = this.#rival !== undefined && hasSameFacts(this.#rival.facts, facts);
				this.#rival = isKnownRival ? this.#rival : {facts, sinceMs: nowMs};
				break;
			}
		}
	}

	#applyReport(report: ServerReport, nowMs: number): void {
		this.#rival = undefined;
		const known = this.#state;
		const hasKnownStart =
			known?.id === report.id &&
			(known.startedAtMs === report.startedAtMs ||
				(known.startedAtMs === 0 && !this.#hasStartedAgain(report)));
		const isSame = hasKnownStart && known.service === report.service;
		const base = isSame ? known : this.#createState(readFacts(report), nowMs);
		const isSustained = isSame && hasSameFacts(known, report);
		this.#state = {
			...base,
			...readFacts(report),
			sequence: report.sequence,
			reportedSinceMs: isSustained ? known.reportedSinceMs : nowMs,
			reportedAtMs: nowMs,
			lastMessageAtMs: nowMs,
			isUnreachable: false,
		};
		this.#applyLeaving(report, nowMs);
	}

	/** Applies whether a server that was believed says that it leaves. */
	#applyLeaving(report: ServerReport, nowMs: number): void {
		const state = this.#state!;
		if (report.isLeaving || this.#hasLeftBefore(report)) {
			this.setLeaving(nowMs);
			this.#state = {...this.#state!, readyReportCount: 0, isLeaveDoubtful: false};
		} else if (state.leavingSinceMs !== undefined) {
			this.#state = {...state, readyReportCount: state.readyReportCount + 1};
		}
	}

	#createState(facts: ServerFacts, nowMs: number): LocalServerState {
		return {
			...facts,
			sequence: undefined,
			reportedSinceMs: nowMs,
			reportedAtMs: nowMs,
			lastMessageAtMs: nowMs,
			isConfirmed: false,
			leavingSinceMs: undefined,
			isLeaveAnswered: false,
			isLeaveDoubtful: false,
			readyReportCount: 0,
			suspendedBeforeMs: 0,
			isUnreachable: false,
		};
	}

	/** Ends a leave that the server itself contradicts: another writer had named it. */
	#clearLeave(message: ServerMessage): void {
		const state = this.#state;
		if (message.kind === 'leave' || message.report.isLeaving || state === undefined) {
			return;
		}

		if (hasSameFacts(state, message.report)) {
			this.#formerLeave = undefined;
			this.#state = {...state, leavingSinceMs: undefined};
		}
	}

	/** Records what the server itself has said of a message that was believed. */
	#recordWitness(message: ServerMessage, witness: ServerWitness): void {
		const state = this.#state!;
		switch (witness.kind) {
			case 'healthy':
			case 'unhealthy': {
				const isConfirmed = state.isConfirmed || state.id === witness.serverId;
				this.#state = {...state, isConfirmed};
				break;
			}

			case 'silent':
			case 'unasked': {
				const isLeave = message.kind === 'leave' || message.report.isLeaving;
				this.#state = {...state, isLeaveDoubtful: isLeave || state.isLeaveDoubtful};
				break;
			}
		}
	}

	#hasLeftBefore({id, startedAtMs}: ServerStart): boolean {
		return this.#formerLeave?.id === id && this.#formerLeave.startedAtMs === startedAtMs;
	}

	/** Whether a report is from a later start than the one that has left. */
	#hasStartedAgain({id, startedAtMs}: ServerStart): boolean {
		return this.#formerLeave?.id === id && this.#formerLeave.startedAtMs < startedAtMs;
	}
}
