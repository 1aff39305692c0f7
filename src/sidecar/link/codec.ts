/**
 * Encodes the heads of frames as JSON arrays without field names: each request sends two heads over
 * links that are billed by volume.
 */
import {readMember} from '../discovery/member-codec.ts';
import {type RawHeaders} from '../types.ts';
import {
	isCount,
	isDurationMs,
	isHeaderList,
	isHeadText,
	isHeadToken,
	isNumberUpTo,
	isRequestTarget,
	type UnknownFields,
} from '../../decoding/value-checks.ts';
import {type ServerEnd, serverEnds} from '../quarantine/server-end.ts';
import {type Frame, frameTypes} from './frames.ts';
import {decodeMetadata, type EncodedMetadata, encodeMetadata} from './metadata-codec.ts';
import {
	type AnswerHead,
	type CallHead,
	type FailureHead,
	type RefusalHead,
	type RefusalReason,
	type ReplyMetadata,
	type ResumeHead,
} from './messages.ts';

/** Encodes an answer's head together with the reply metadata. */
export function encodeAnswer(head: AnswerHead, metadata: ReplyMetadata): string {
	return JSON.stringify([
		head.status,
		head.headers,
		head.isWhole ? 1 : 0,
		(head.isNotRun ? 1 : 0) + (head.isLeaving ? 2 : 0),
		encodeMetadata(metadata),
	]);
}

export function decodeAnswer(text: string): {head: AnswerHead; metadata: ReplyMetadata} {
	const [status, headers, isWhole, flags, metadata] = JSON.parse(text) as [
		number,
		string[],
		number,
		number,
		EncodedMetadata,
	];
	if (!isNumberUpTo(status, 999) || !isTextList(headers) || !isCount(flags)) {
		throw new TypeError('an answer with a value of the wrong type or out of range');
	}

	return {
		head: {
			status,
			headers,
			isWhole: isWhole === 1,
			isNotRun: flags % 2 === 1,
			isLeaving: flags >= 2,
		},
		metadata: decodeMetadata(metadata),
	};
}

export function encodeRefusal(head: RefusalHead, metadata: ReplyMetadata): string {
	return JSON.stringify([head.reason, head.member ?? null, encodeMetadata(metadata)]);
}

export function decodeRefusal(text: string): {head: RefusalHead; metadata: ReplyMetadata} {
	const [reason, member, metadata] = JSON.parse(text) as [RefusalReason, unknown, EncodedMetadata];
	return {
		head: {reason, member: readMember(member)},
		metadata: decodeMetadata(metadata),
	};
}

/** Codes of the ends in a frame; a release that knows fewer takes the last for a lost answer. */
const serverEndCodes: readonly ServerEnd[] = [
	serverEnds.none,
	serverEnds.suspect,
	serverEnds.shared,
];

export function encodeFailure(head: FailureHead, metadata: ReplyMetadata): string {
	const code = serverEndCodes.indexOf(head.serverEnd ?? serverEnds.none);
	return JSON.stringify([head.reason, encodeMetadata(metadata), code]);
}

export function decodeFailure(text: string): {head: FailureHead; metadata: ReplyMetadata} {
	const [reason, metadata, ended] = JSON.parse(text) as [string, EncodedMetadata, number];
	const serverEnd = serverEndCodes[ended] ?? serverEnds.none;
	return {head: {reason, serverEnd}, metadata: decodeMetadata(metadata)};
}

/** A decoded reply of a guard. */
export type Reply =
	| {readonly kind: 'answer'; readonly head: AnswerHead; readonly metadata: ReplyMetadata}
	| {readonly kind: 'refusal'; readonly head: RefusalHead; readonly metadata: ReplyMetadata}
	| {readonly kind: 'failure'; readonly head: FailureHead; readonly metadata: ReplyMetadata}
	| {readonly kind: 'data'}
	| {readonly kind: 'taken'; readonly totalBytes: number}
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

			case frameTypes.taken: {
				return {kind: 'taken', totalBytes: decodeTaken(head)};
			}

			case frameTypes.open:
			case frameTypes.ping:
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

function decodeTaken(text: string): number {
	const totalBytes: unknown = JSON.parse(text);
	if (!isCount(totalBytes)) {
		throw new TypeError(`${text.slice(0, 20)} is no number of bytes`);
	}

	return totalBytes;
}

/** @throws {TypeError} when the text is no valid head */
export function decodeResume(text: string): ResumeHead {
	const {nonce, route, callerService, incarnation} = JSON.parse(text) as UnknownFields<ResumeHead>;
	if (
		typeof nonce !== 'string' ||
		typeof route !== 'string' ||
		typeof callerService !== 'string' ||
		typeof incarnation !== 'string'
	) {
		throw new TypeError('a resume with a value of the wrong type');
	}

	return {nonce, route, callerService, incarnation};
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
	serverLimitPerSecond: number,
	digest: string,
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
		head.serverLimitPerSecond,
		head.digest,
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
		serverLimitPerSecond,
		digest,
	] = JSON.parse(text) as EncodedCall;
	const texts = [nonce, requestId, method, path, service, serverId, callerService, route, digest];
	if (
		!isTextList(texts) ||
		!isTextList(headers) ||
		!isDurationMs(remainingMs) ||
		!isCount(flags) ||
		!isNumberUpTo(priority, Number.MAX_VALUE) ||
		!isNumberUpTo(serverLimitPerSecond, Number.MAX_SAFE_INTEGER)
	) {
		throw new TypeError('a request with a value of the wrong type or out of range');
	}

	if (
		!isHeadToken(method) ||
		!isRequestTarget(path) ||
		!isHeadText(serverId) ||
		!isHeadText(callerService) ||
		!isHeaderList(headers)
	) {
		throw new TypeError('a request with a text that would end a line of its head');
	}

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
		serverLimitPerSecond,
		digest,
	};
}

function isTextList(value: unknown): value is string[] {
	return Array.isArray(value) && value.every(each => typeof each === 'string');
}

/** Flags of a call, encoded as a bit field with the first flag in the lowest bit. */
type CallFlags = Pick<CallHead, 'isOnce' | 'isWhole' | 'isNested' | 'isPatient'>;

function encodeCallFlags({isOnce, isWhole, isNested, isPatient}: CallFlags): number {
	return (isOnce ? 1 : 0) + (isWhole ? 2 : 0) + (isNested ? 4 : 0) + (isPatient ? 8 : 0);
}

function decodeCallFlags(flags: number): CallFlags {
	const hasBit = (bit: number) => Math.floor(flags / bit) % 2 === 1;
	return {isOnce: hasBit(1), isWhole: hasBit(2), isNested: hasBit(4), isPatient: hasBit(8)};
}
