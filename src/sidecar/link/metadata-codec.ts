/** Encodes the metadata of replies as JSON arrays without field names. */
import {type Cost, type CostVector} from '../overload/cost-table.ts';
import {type KnownLimit} from '../types.ts';
import {
	isConfigVersion,
	isCount,
	isDurationMs,
	isName,
	isNumberUpTo,
} from '../../decoding/value-checks.ts';
import {type OverloadReport, type ReplyMetadata} from './messages.ts';

type EncodedOverloadReport = [
	instance: string,
	service: string,
	region: string,
	openShare: number,
	repeatableShare: number,
	ageMs: number,
];
type EncodedCosts = Array<[service: string, slotMs: number, calls: number]>;

export type EncodedMetadata = [
	running: number,
	waiting: number,
	limit: number,
	configVersion: number,
	overloadReports: EncodedOverloadReport[],
	costs: EncodedCosts | 0,
	isNested: EncodedOptionalFlag,
	limitPerSecond: number,
	paceFill: number,
];

/** 0 for false, 1 for true, 2 for unknown. */
type EncodedOptionalFlag = 0 | 1 | 2;

export function encodeMetadata(metadata: ReplyMetadata): EncodedMetadata {
	const {running, waiting, limit, pace} = metadata.load;
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
		encodeLimit(pace.limit),
		roundShare(pace.fill),
	];
}

/** Encodes a limit as requests a second, 0 for none and -1 while it is unknown. */
function encodeLimit(limit: KnownLimit): number {
	switch (limit.kind) {
		case 'unknown': {
			return -1;
		}

		case 'none': {
			return 0;
		}

		case 'paced': {
			return limit.perSecond;
		}
	}
}

function decodeLimit(encoded: number): KnownLimit {
	if (encoded > 0) {
		return {kind: 'paced', perSecond: encoded};
	}

	return {kind: encoded === 0 ? 'none' : 'unknown'};
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

/** Requests a second beyond what a server can name. */
const maxPerSecond = 1_000_000_000;
/** More calls than one request makes. */
const maxCalls = 1_000_000;

/**
 * Decodes the metadata of a reply.
 *
 * @throws {TypeError} when a value has the wrong type or is out of range; nothing of it may be used then
 */
export function decodeMetadata(encoded: EncodedMetadata): ReplyMetadata {
	assertMetadata(encoded);
	const [running, waiting, limit, configVersion, reports, costs, isNested, perSecond, fill] =
		encoded;
	const overloadReports: OverloadReport[] = [];
	for (const [instance, service, region, openShare, repeatableShare, ageMs] of reports) {
		overloadReports.push({instance, service, region, openShare, repeatableShare, ageMs});
	}

	return {
		load: {running, waiting, limit, pace: {limit: decodeLimit(perSecond), fill}},
		configVersion,
		overloadReports,
		costs: costs === 0 ? undefined : decodeCosts(costs),
		isNested: isNested === 2 ? undefined : isNested === 1,
	};
}

function assertMetadata(encoded: EncodedMetadata): void {
	const [running, waiting, limit, configVersion, reports, costs, isNested, perSecond, fill] =
		encoded;
	const isValid =
		isCount(running) &&
		isCount(waiting) &&
		isCount(limit) &&
		isConfigVersion(configVersion) &&
		Array.isArray(reports) &&
		reports.every(report => isReport(report)) &&
		(costs === 0 || (Array.isArray(costs) && costs.every(cost => isCost(cost)))) &&
		isNumberUpTo(isNested, 2) &&
		(perSecond === -1 || isNumberUpTo(perSecond, maxPerSecond)) &&
		isNumberUpTo(fill, Number.MAX_SAFE_INTEGER);
	if (!isValid) {
		throw new TypeError('metadata with a value of the wrong type or out of range');
	}
}

function isReport(report: unknown): report is EncodedOverloadReport {
	if (!Array.isArray(report)) {
		return false;
	}

	const [instance, service, region, openShare, repeatableShare, ageMs] = report as unknown[];
	return (
		isName(instance) &&
		isName(service) &&
		isName(region) &&
		isNumberUpTo(openShare, 1) &&
		isNumberUpTo(repeatableShare, 1) &&
		isDurationMs(ageMs)
	);
}

function isCost(cost: unknown): cost is EncodedCosts[number] {
	if (!Array.isArray(cost)) {
		return false;
	}

	const [service, slotMs, calls] = cost as unknown[];
	return isName(service) && isDurationMs(slotMs) && isNumberUpTo(calls, maxCalls);
}
