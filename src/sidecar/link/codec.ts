/**
 * Encodes the heads of frames as JSON arrays without field names: each request sends two heads over
 * links that are billed by volume.
 */
import {type Cost, type CostVector} from '../overload/cost-table.ts';
import {type Member, type RawHeaders} from '../types.ts';
import {type Frame, frameTypes} from './frames.ts';
import {
	type AnswerHead,
	type CallHead,
	type FailureHead,
	type OverloadReport,
	type RefusalHead,
	type RefusalReason,
	type ReplyMetadata,
} from './messages.ts';

/** Encodes an answer's head together with the reply metadata. */
export function encodeAnswer(head: AnswerHead, metadata: ReplyMetadata): string {
	return JSON.stringify([
		head.status,
		head.headers,
		head.isWhole ? 1 : 0,
		head.isNotRun ? 1 : 0,
		encodeMetadata(metadata),
	]);
}

export function decodeAnswer(text: string): {head: AnswerHead; metadata: ReplyMetadata} {
	const [status, headers, isWhole, isNotRun, metadata] = JSON.parse(text) as [
		number,
		string[],
		number,
		number,
		EncodedMetadata,
	];
	return {
		head: {status, headers, isWhole: isWhole === 1, isNotRun: isNotRun === 1},
		metadata: decodeMetadata(metadata),
	};
}

export function encodeRefusal(head: RefusalHead, metadata: ReplyMetadata): string {
	return JSON.stringify([head.reason, head.member ?? null, encodeMetadata(metadata)]);
}

export function decodeRefusal(text: string): {head: RefusalHead; metadata: ReplyMetadata} {
	const [reason, member, metadata] = JSON.parse(text) as [
		RefusalReason,
		Member | undefined,
		EncodedMetadata,
	];
	return {
		head: {reason, member: member ?? undefined},
		metadata: decodeMetadata(metadata),
	};
}

export function encodeFailure(head: FailureHead, metadata: ReplyMetadata): string {
	return JSON.stringify([head.reason, encodeMetadata(metadata)]);
}

export function decodeFailure(text: string): {head: FailureHead; metadata: ReplyMetadata} {
	const [reason, metadata] = JSON.parse(text) as [string, EncodedMetadata];
	return {head: {reason}, metadata: decodeMetadata(metadata)};
}

/** A decoded reply of a guard. */
export type Reply =
	| {readonly kind: 'answer'; readonly head: AnswerHead; readonly metadata: ReplyMetadata}
	| {readonly kind: 'refusal'; readonly head: RefusalHead; readonly metadata: ReplyMetadata}
	| {readonly kind: 'failure'; readonly head: FailureHead; readonly metadata: ReplyMetadata}
	| {readonly kind: 'data'}
	| {readonly kind: 'end'}
	| {readonly kind: 'invalid'; readonly reason: string};

/**
 * Decodes a frame that a guard sends in an exchange. An invalid frame is returned as `invalid`, not
 * thrown: a peer of another version or a transmission fault must not crash the process.
 *
 * @example
 * decodeReply({type: frameTypes.failed, head: 'no JSON', body}).kind; // 'invalid'
 */
export function decodeReply({type, head}: Pick<Frame, 'type' | 'head'>): Reply {
	try {
		switch (type) {
			case frameTypes.answer: {
				return {kind: 'answer', ...decodeAnswer(head)};
			}

			case frameTypes.refused: {
				return {kind: 'refusal', ...decodeRefusal(head)};
			}

			case frameTypes.failed: {
				return {kind: 'failure', ...decodeFailure(head)};
			}

			case frameTypes.data: {
				return {kind: 'data'};
			}

			case frameTypes.end: {
				return {kind: 'end'};
			}

			case frameTypes.open:
			case frameTypes.cancel:
			case frameTypes.resume:
			case frameTypes.sync:
			case frameTypes.state:
			case frameTypes.hello: {
				return {kind: 'invalid', reason: `frame of type ${type} is not a reply`};
			}
		}
	} catch (error) {
		const reason = `invalid head in a frame of type ${type}: ${(error as Error).message}`;
		return {kind: 'invalid', reason};
	}
}

type EncodedCall = [
	nonce: string,
	requestId: string,
	method: string,
	path: string,
	headers: RawHeaders,
	remainingMs: number,
	service: string,
	serverId: string,
	callerService: string,
	route: string,
	flags: number,
	priority: number,
];

export function encodeCall(head: CallHead): string {
	const encoded: EncodedCall = [
		head.nonce,
		head.requestId,
		head.method,
		head.path,
		head.headers,
		Math.floor(head.remainingMs),
		head.service,
		head.serverId,
		head.callerService,
		head.route,
		encodeCallFlags(head),
		head.priority,
	];
	return JSON.stringify(encoded);
}

export function decodeCall(text: string): CallHead {
	const [
		nonce,
		requestId,
		method,
		path,
		headers,
		remainingMs,
		service,
		serverId,
		callerService,
		route,
		flags,
		priority,
	] = JSON.parse(text) as EncodedCall;
	return {
		nonce,
		requestId,
		method,
		path,
		headers,
		remainingMs,
		service,
		serverId,
		callerService,
		route,
		...decodeCallFlags(flags),
		priority,
	};
}

/** Flags of a call, encoded as a bit field with the first flag in the lowest bit. */
type CallFlags = Pick<CallHead, 'isOnce' | 'isWhole' | 'isNested'>;

function encodeCallFlags({isOnce, isWhole, isNested}: CallFlags): number {
	return (isOnce ? 1 : 0) + (isWhole ? 2 : 0) + (isNested ? 4 : 0);
}

function decodeCallFlags(flags: number): CallFlags {
	const hasBit = (bit: number) => Math.floor(flags / bit) % 2 === 1;
	return {isOnce: hasBit(1), isWhole: hasBit(2), isNested: hasBit(4)};
}

type EncodedOverloadReport = [
	instance: string,
	service: string,
	region: string,
	openShare: number,
	repeatableShare: number,
	ageMs: number,
];
type EncodedCosts = Array<[service: string, slotMs: number, calls: number]>;

type EncodedMetadata = [
	running: number,
	waiting: number,
	limit: number,
	configVersion: number,
	overloadReports: EncodedOverloadReport[],
	costs: EncodedCosts | 0,
	isNested: EncodedOptionalFlag,
];

/** 0 for false, 1 for true, 2 for unknown. */
type EncodedOptionalFlag = 0 | 1 | 2;

function encodeMetadata(metadata: ReplyMetadata): EncodedMetadata {
	const {running, waiting, limit} = metadata.load;
	const reports: EncodedOverloadReport[] = [];
	for (const report of metadata.overloadReports) {
		const {instance, service, region, openShare, repeatableShare, ageMs} = report;
		const shares = [roundShare(openShare), roundShare(repeatableShare)] as const;
		reports.push([instance, service, region, ...shares, Math.round(ageMs)]);
	}

	const isNested = encodeOptionalFlag(metadata.isNested);
	return [
		running,
		waiting,
		limit,
		metadata.configVersion,
		reports,
		encodeCosts(metadata.costs),
		isNested,
	];
}

function encodeCosts(costs: CostVector | undefined): EncodedCosts | 0 {
	if (costs === undefined) {
		return 0;
	}

	const encoded: EncodedCosts = [];
	for (const [service, {slotMs, calls}] of costs) {
		encoded.push([service, Math.round(slotMs * 10) / 10, Math.round(calls * 100) / 100]);
	}

	return encoded;
}

function decodeCosts(encoded: EncodedCosts): CostVector {
	const costs = new Map<string, Cost>();
	for (const [service, slotMs, calls] of encoded) {
		costs.set(service, {slotMs, calls});
	}

	return costs;
}

function encodeOptionalFlag(flag: boolean | undefined): EncodedOptionalFlag {
	if (flag === undefined) {
		return 2;
	}

	return flag ? 1 : 0;
}

function roundShare(share: number): number {
	return Math.round(share * 1000) / 1000;
}

function decodeMetadata(encoded: EncodedMetadata): ReplyMetadata {
	const [running, waiting, limit, configVersion, reports, costs, isNested] = encoded;
	const overloadReports: OverloadReport[] = [];
	for (const [instance, service, region, openShare, repeatableShare, ageMs] of reports) {
		overloadReports.push({instance, service, region, openShare, repeatableShare, ageMs});
	}

	return {
		load: {running, waiting, limit},
		configVersion,
		overloadReports,
		costs: costs === 0 ? undefined : decodeCosts(costs),
		isNested: isNested === 2 ? undefined : isNested === 1,
	};
}
