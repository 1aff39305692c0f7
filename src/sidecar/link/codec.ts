/**
 * Encodes the heads of frames as JSON lists without names, since each request carries two of them over
 * links that are billed by volume.
 */
import {type Cost, type CostVector} from '../overload/cost-book.ts';
import {type Member, type RawHeaders} from '../types.ts';
import {type Frame, frameTypes} from './frames.ts';
import {
	type AnswerHead,
	type CallHead,
	type FailureHead,
	type PressureNews,
	type RefusalHead,
	type RefusalReason,
	type ReplyNews,
} from './messages.ts';

/** Encodes an answer's head; news ride along. */
export function encodeAnswer(head: AnswerHead, news: ReplyNews): string {
	return JSON.stringify([
		head.status,
		head.headers,
		head.isWhole ? 1 : 0,
		head.isNotRun ? 1 : 0,
		encodeNews(news),
	]);
}

export function decodeAnswer(text: string): {head: AnswerHead; news: ReplyNews} {
	const [status, headers, isWhole, isNotRun, news] = JSON.parse(text) as [
		number,
		string[],
		number,
		number,
		EncodedNews,
	];
	return {
		head: {status, headers, isWhole: isWhole === 1, isNotRun: isNotRun === 1},
		news: decodeNews(news),
	};
}

export function encodeRefusal(head: RefusalHead, news: ReplyNews): string {
	return JSON.stringify([head.reason, head.member ?? null, encodeNews(news)]);
}

export function decodeRefusal(text: string): {head: RefusalHead; news: ReplyNews} {
	const [reason, member, news] = JSON.parse(text) as [
		RefusalReason,
		Member | undefined,
		EncodedNews,
	];
	return {
		head: {reason, member: member ?? undefined},
		news: decodeNews(news),
	};
}

export function encodeFailure(head: FailureHead, news: ReplyNews): string {
	return JSON.stringify([head.reason, encodeNews(news)]);
}

export function decodeFailure(text: string): {head: FailureHead; news: ReplyNews} {
	const [reason, news] = JSON.parse(text) as [string, EncodedNews];
	return {head: {reason}, news: decodeNews(news)};
}

/** A decoded reply of a guard. */
export type Reply =
	| {readonly kind: 'answer'; readonly head: AnswerHead; readonly news: ReplyNews}
	| {readonly kind: 'refusal'; readonly head: RefusalHead; readonly news: ReplyNews}
	| {readonly kind: 'failure'; readonly head: FailureHead; readonly news: ReplyNews}
	| {readonly kind: 'data'}
	| {readonly kind: 'end'}
	| {readonly kind: 'unreadable'; readonly reason: string};

/**
 * Decodes what a guard sends in an exchange. A frame that is no reply is told as such, since a peer of
 * another version or a fault on the way must not end the process.
 *
 * @example
 * decodeReply({type: frameTypes.failed, head: 'no JSON', body}).kind; // 'unreadable'
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
				return {kind: 'unreadable', reason: `frame of type ${type} is no reply`};
			}
		}
	} catch (error) {
		const reason = `head of a frame of type ${type}: ${(error as Error).message}`;
		return {kind: 'unreadable', reason};
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
		encodeFlags(head),
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
		...decodeFlags(flags),
		priority,
	};
}

/** Flags of a call, the first in the lowest bit. */
type CallFlags = Pick<CallHead, 'isOnce' | 'isWhole' | 'isInner'>;

function encodeFlags({isOnce, isWhole, isInner}: CallFlags): number {
	return (isOnce ? 1 : 0) + (isWhole ? 2 : 0) + (isInner ? 4 : 0);
}

function decodeFlags(flags: number): CallFlags {
	const hasBit = (bit: number) => Math.floor(flags / bit) % 2 === 1;
	return {isOnce: hasBit(1), isWhole: hasBit(2), isInner: hasBit(4)};
}

type EncodedPressure = [
	instance: string,
	service: string,
	region: string,
	openShare: number,
	repeatableShare: number,
	ageMs: number,
];
type EncodedCosts = Array<[service: string, slotMs: number, calls: number]>;

type EncodedNews = [
	running: number,
	waiting: number,
	limit: number,
	configVersion: number,
	pressure: EncodedPressure[],
	costs: EncodedCosts | 0,
	inner: EncodedFlag,
];

/** A flag that may be unknown. */
type EncodedFlag = 0 | 1 | 2;

function encodeNews(news: ReplyNews): EncodedNews {
	const {running, waiting, limit} = news.load;
	const pressure: EncodedPressure[] = [];
	for (const report of news.pressure) {
		const {instance, service, region, openShare, repeatableShare, ageMs} = report;
		const shares = [roundShare(openShare), roundShare(repeatableShare)] as const;
		pressure.push([instance, service, region, ...shares, Math.round(ageMs)]);
	}

	const inner = encodeFlag(news.isInner);
	return [running, waiting, limit, news.configVersion, pressure, encodeCosts(news.costs), inner];
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

function encodeFlag(flag: boolean | undefined): EncodedFlag {
	if (flag === undefined) {
		return 2;
	}

	return flag ? 1 : 0;
}

function roundShare(share: number): number {
	return Math.round(share * 1000) / 1000;
}

function decodeNews(encoded: EncodedNews): ReplyNews {
	const [running, waiting, limit, configVersion, reports, costs, inner] = encoded;
	const pressure: PressureNews[] = [];
	for (const [instance, service, region, openShare, repeatableShare, ageMs] of reports) {
		pressure.push({instance, service, region, openShare, repeatableShare, ageMs});
	}

	return {
		load: {running, waiting, limit},
		configVersion,
		pressure,
		costs: costs === 0 ? undefined : decodeCosts(costs),
		isInner: inner === 2 ? undefined : inner === 1,
	};
}
