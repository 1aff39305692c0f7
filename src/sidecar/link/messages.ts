/**
 * Heads of the frames between sidecars.
 *
 * Fields have one-letter names, since each request carries two heads over links that are billed by volume.
 */
import {type Cost, type CostVector} from '../overload/cost-book.ts';
import {type Member, type RawHeaders} from '../types.ts';

/** How busy a guard is, as it says on each reply. */
export type GuardLoad = {
	/** Requests at the server. */
	readonly running: number;
	/** Requests that wait in the guard. */
	readonly waiting: number;
	/** Requests that the guard lets run at a time. */
	readonly limit: number;
};

/** A request on its way from an entry to a guard. */
export type CallHead = {
	/** Names one send of ours; a request that is sent twice has two. */
	readonly nonce: string;
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly headers: RawHeaders;
	readonly remainingMs: number;
	readonly service: string;
	readonly serverId: string;
	readonly callerService: string;
	readonly route: string;
	readonly isOnce: boolean;
	readonly priority: number;
	/** Whether the frame holds the whole body; otherwise data frames follow. */
	readonly isWhole: boolean;
	/** Whether a server made the request, for work that was admitted before. */
	readonly isInner: boolean;
	/** Whether a server has had this request before. */
	readonly isRepeat: boolean;
};

/** Why a guard refuses a request that it has not run. */
export const refusalReasons = {
	full: 'full',
	late: 'late',
	leaving: 'leaving',
	wrongServer: 'wrongServer',
	unreachable: 'unreachable',
	serverRefused: 'serverRefused',
	forgotten: 'forgotten',
	stopping: 'stopping',
} as const;
export type RefusalReason = (typeof refusalReasons)[keyof typeof refusalReasons];

/** What every reply of a guard tells besides. */
export type ReplyNews = {
	readonly load: GuardLoad;
	readonly configVersion: number;
	/** Overload of services as the guard knows it. */
	readonly pressure: readonly PressureNews[];
	/** Slot time that one request of the route costs, by service; on some replies only. */
	readonly costs: CostVector | undefined;
	/** Whether such requests from the entry's instance are calls of the server there, as far as known. */
	readonly isInner: boolean | undefined;
};

/** Overload of one service, as heard some time ago. */
export type PressureNews = {
	readonly instance: string;
	readonly service: string;
	readonly region: string;
	/** Share of the demand that the service can take; 1 when it takes all. */
	readonly openShare: number;
	/** Share of the demand for which repeats suffice, while the server refuses requests at random. */
	readonly repeatableShare: number;
	readonly ageMs: number;
};

export type AnswerHead = {
	readonly status: number;
	readonly headers: RawHeaders;
	/** Whether the frame holds the whole body; otherwise data frames follow. */
	readonly isWhole: boolean;
	/** Whether the server says that the request was not run. */
	readonly isNotRun: boolean;
	/** Time at the server. */
	readonly serviceMs: number;
};

export type RefusalHead = {
	readonly reason: RefusalReason;
	/** Whether the server itself turned the request away; such an arrival counts as a send. */
	readonly hasArrived: boolean;
	/** The guard's present announcement, where the refusal comes from an outdated view. */
	readonly member: Member | undefined;
};

export type FailureHead = {
	readonly reason: string;
};

export type ResumeHead = {readonly nonce: string; readonly incarnation: string};

/** Encodes an answer's head; news ride along. */
export function encodeAnswer(head: AnswerHead, news: ReplyNews): string {
	return JSON.stringify([
		head.status,
		head.headers,
		head.isWhole ? 1 : 0,
		head.isNotRun ? 1 : 0,
		Math.round(head.serviceMs),
		encodeNews(news),
	]);
}

export function decodeAnswer(text: string): {head: AnswerHead; news: ReplyNews} {
	const [status, headers, isWhole, isNotRun, serviceMs, news] = JSON.parse(text) as [
		number,
		string[],
		number,
		number,
		number,
		EncodedNews,
	];
	return {
		head: {status, headers, isWhole: isWhole === 1, isNotRun: isNotRun === 1, serviceMs},
		news: decodeNews(news),
	};
}

export function encodeRefusal(head: RefusalHead, news: ReplyNews): string {
	return JSON.stringify([
		head.reason,
		head.hasArrived ? 1 : 0,
		head.member ?? null,
		encodeNews(news),
	]);
}

export function decodeRefusal(text: string): {head: RefusalHead; news: ReplyNews} {
	const [reason, hasArrived, member, news] = JSON.parse(text) as [
		RefusalReason,
		number,
		Member | undefined,
		EncodedNews,
	];
	return {
		head: {reason, hasArrived: hasArrived === 1, member: member ?? undefined},
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

export function encodeCall(head: CallHead): string {
	return JSON.stringify([
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
		(head.isOnce ? 1 : 0) +
			(head.isWhole ? 2 : 0) +
			(head.isRepeat ? 4 : 0) +
			(head.isInner ? 8 : 0),
		head.priority,
	]);
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
	] = JSON.parse(text) as [
		string,
		string,
		string,
		string,
		string[],
		number,
		string,
		string,
		string,
		string,
		number,
		number,
	];
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
		isOnce: flags % 2 === 1,
		isWhole: Math.floor(flags / 2) % 2 === 1,
		isRepeat: Math.floor(flags / 4) % 2 === 1,
		isInner: flags >= 8,
		priority,
	};
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
