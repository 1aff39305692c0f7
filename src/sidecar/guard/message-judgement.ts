/**
 * Decides which messages on the control address are believed.
 *
 * Whoever reaches that address can write there. A message that continues what is known of the server is believed. One
 * that changes who the server is, or whether it leaves, is believed only if the server itself confirms it.
 */
import {type ServerMessage, type ServerReport} from '../types.ts';
import {
	hasSameFacts,
	isEstablished,
	type LocalServerState,
	minEstablishedMs,
	type RivalFacts,
	type ServerExpectation,
	type ServerFacts,
	type ServerWitness,
} from './local-server-state.ts';

/** A server that neither reports nor answers for this long may have been replaced. */
const maxQuietMs = 3000;
/** Sequences that a server may have skipped between two reports, besides those for the time between them. */
const maxSkippedReports = 3;
const minReportIntervalMs = 200;
/** Reports in which a server that left says again that it is ready, before it is asked. */
const minReturnReports = 3;
/** A server is asked whether it has returned after this many drain times. */
const returnDrainTimes = 2;

export type Judgement =
	| {readonly kind: 'believed'}
	/** Believed if the server itself confirms it. */
	| {readonly kind: 'unconfirmed'}
	/** A later message of the same server is known. */
	| {readonly kind: 'outdated'}
	| {readonly kind: 'refused'; readonly reason: string};

export type JudgementInput = {
	readonly state: LocalServerState | undefined;
	readonly rival: RivalFacts | undefined;
	/** Facts that an earlier process of this sidecar announced. */
	readonly former: ServerFacts | undefined;
	readonly expected: ServerExpectation;
	readonly drainMs: number;
	readonly nowMs: number;
};

const believed: Judgement = {kind: 'believed'};
const unconfirmed: Judgement = {kind: 'unconfirmed'};
const outdated: Judgement = {kind: 'outdated'};

function refuse(reason: string): Judgement {
	return {kind: 'refused', reason};
}

/**
 * Judges a message by what is known without asking the server.
 *
 * @example
 * judgeMessage(message, {state: undefined, rival, former, expected, drainMs, nowMs}).kind; // 'unconfirmed'
 */
export function judgeMessage(message: ServerMessage, input: JudgementInput): Judgement {
	switch (message.kind) {
		case 'report': {
			return judgeReport(message.report, input);
		}

		case 'leave': {
			const {state} = input;
			const {id, startedAtMs} = message;
			if (state?.id !== id) {
				return outdated;
			}

			const isSameStart = state.startedAtMs === 0 || state.startedAtMs === startedAtMs;
			return startedAtMs === undefined || isSameStart ? believed : unconfirmed;
		}
	}
}

function judgeReport(report: ServerReport, input: JudgementInput): Judgement {
	const {state, expected} = input;
	const contradiction = findContradiction(report, expected);
	if (contradiction !== undefined) {
		return refuse(contradiction);
	}

	if (state?.id !== report.id) {
		return unconfirmed;
	}

	if (!hasSameFacts(state, report)) {
		return judgeOtherFacts(report, state, input);
	}

	if (report.isLeaving) {
		return isNextReport(report, state, input.nowMs) ? believed : unconfirmed;
	}

	if (state.leavingSinceMs !== undefined) {
		return mayReturn(state, input) ? unconfirmed : believed;
	}

	return report.sequence < (state.sequence ?? 0) ? outdated : believed;
}

/** Finds what in a report can't be true of the server beside this sidecar. */
function findContradiction(report: ServerReport, expected: ServerExpectation): string | undefined {
	const {host, port} = report.address;
	const {address, dataCentre} = expected;
	if (host !== address.host || port !== address.port) {
		return `address ${host}:${port} is not the server's, ${address.host}:${address.port}`;
	}

	if (report.dataCentre !== dataCentre) {
		return `data centre ${report.dataCentre} is not this one, ${dataCentre}`;
	}

	const isPossible =
		report.service === expected.readService() || expected.isConfigured(report.service);
	return isPossible ? undefined : `service ${report.service} is not configured`;
}

/** Judges a report of the known server with another service, start or number of slots. */
function judgeOtherFacts(
	report: ServerReport,
	state: LocalServerState,
	input: JudgementInput,
): Judgement {
	const {former, expected} = input;
	if (report.service !== state.service) {
		return report.service === expected.readService()
			? believed
			: refuse(`service ${report.service} is not the server's, ${state.service}`);
	}

	const isFormer = former !== undefined && hasSameFacts(former, report);
	const isStartUnknown = state.startedAtMs === 0;
	const hasRestarted = state.isUnreachable && report.startedAtMs > state.startedAtMs;
	const isKnownBefore = isFormer && !isEstablished(state);
	if (isStartUnknown || hasRestarted || isKnownBefore || isSustained(report, input)) {
		return believed;
	}

	if (report.isLeaving) {
		return unconfirmed;
	}

	if (state.leavingSinceMs !== undefined && report.startedAtMs !== state.startedAtMs) {
		return unconfirmed;
	}

	const {startedAtMs, slots} = state;
	return refuse(
		`start ${report.startedAtMs} with ${report.slots} slots is not the server's, ${startedAtMs} with ${slots}`,
	);
}

/** Whether reports with these facts have gone on while those of the known server had ceased. */
function isSustained(report: ServerReport, {rival, nowMs}: JudgementInput): boolean {
	return (
		rival !== undefined &&
		hasSameFacts(rival.facts, report) &&
		nowMs - rival.sinceMs >= minEstablishedMs
	);
}

/** Whether a report can follow those that have arrived: no more were missed than the server has sent since. */
function isNextReport(report: ServerReport, state: LocalServerState, nowMs: number): boolean {
	const missed = maxSkippedReports + (nowMs - state.reportedAtMs) / minReportIntervalMs;
	return state.sequence !== undefined && report.sequence <= state.sequence + missed;
}

/** Whether a server that has left goes on to report for so long that it may not be leaving. */
function mayReturn(state: LocalServerState, {drainMs, nowMs}: JudgementInput): boolean {
	const isLongAgo = nowMs - (state.leavingSinceMs ?? nowMs) >= drainMs * returnDrainTimes;
	const isContradicted = isLongAgo && state.readyReportCount >= minReturnReports;
	return !state.isLeaveAnswered && (state.isLeaveDoubtful || isContradicted);
}

/**
 * Judges a message that was unconfirmed by what the server itself says.
 *
 * @example
 * judgeWitness(message, {kind: 'healthy', serverId: 'i-1'}, input).kind; // 'believed', if it is of i-1
 */
export function judgeWitness(
	message: ServerMessage,
	witness: ServerWitness,
	input: JudgementInput,
): Judgement {
	const id = message.kind === 'leave' ? message.id : message.report.id;
	const witnessId = readWitnessId(witness);
	if (witnessId !== undefined && witnessId !== id) {
		return refuse(`the server names itself ${witnessId}, not ${id}`);
	}

	const isLeave = message.kind === 'leave' || message.report.isLeaving;
	if (isLeave && witness.kind === 'healthy') {
		return refuse('the server says that it is healthy, so it does not leave');
	}

	const {state} = input;
	const isReporting = state?.id === id && state.sequence !== undefined;
	if (isLeave && witness.kind === 'unasked' && isReporting) {
		return refuse('the message is out of order, and no configuration tells how to ask the server');
	}

	if (message.kind === 'leave') {
		return believed;
	}

	return state?.id === id
		? judgeKnownServer(message.report, witness, {...input, state})
		: judgeOtherServer(message.report, witness, input);
}

function readWitnessId(witness: ServerWitness): string | undefined {
	return witness.kind === 'healthy' || witness.kind === 'unhealthy' ? witness.serverId : undefined;
}

/** Judges a leave, a return or a further start of the known server. */
function judgeKnownServer(
	report: ServerReport,
	witness: ServerWitness,
	input: JudgementInput & {readonly state: LocalServerState},
): Judgement {
	const isLaterStart = report.startedAtMs > input.state.startedAtMs;
	const isUnanswered = witness.kind === 'silent' || witness.kind === 'unasked';
	const isBorneOut =
		report.isLeaving ||
		witness.kind === 'healthy' ||
		(isUnanswered && isLaterStart && isSustained(report, input));
	return isBorneOut ? believed : refuse('the server has left and does not say that it is healthy');
}

/** Judges a report of a server that is not the known one. */
function judgeOtherServer(
	report: ServerReport,
	witness: ServerWitness,
	input: JudgementInput,
): Judgement {
	const {state, expected, nowMs} = input;
	const isNamed = readWitnessId(witness) === report.id;
	if (report.service !== expected.readService()) {
		// Without a server known before, only the settings say which service runs here.
		const isReplaced = state !== undefined;
		return isNamed && (isReplaced || isSustained(report, input))
			? believed
			: refuse(`service ${report.service} is not that of the settings, ${expected.readService()}`);
	}

	const isDoubtful =
		state === undefined ||
		(!state.isConfirmed && isSustained(report, input)) ||
		state.isUnreachable ||
		nowMs - state.lastMessageAtMs >= maxQuietMs;
	return isNamed || isDoubtful
		? believed
		: refuse(`server ${state.id} is in use, and ${report.id} did not confirm its report`);
}
