/** Encodes and decodes announcements for the shared table and for peers. */
import {type Member, type MemberState} from '../types.ts';
import {
	isEpoch,
	isName,
	isRecord,
	isSlotCount,
	isSocketAddress,
	isOptionalTimeMs,
	type UnknownFields,
} from '../../decoding/value-checks.ts';

const states = new Set<unknown>(['ready', 'leaving', 'down'] satisfies MemberState[]);

export function encodeMember(member: Member): string {
	return JSON.stringify(member);
}

/**
 * Decodes an announcement.
 *
 * @returns undefined when the text is not an announcement, for example a row left by another writer
 * @example
 * const member = decodeMember(row.value);
 */
export function decodeMember(text: string): Member | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return undefined;
	}

	return readMember(value);
}

/**
 * Reads an announcement from a decoded value, with its known fields only.
 *
 * @returns undefined when a field has the wrong type or is out of range
 */
export function readMember(value: unknown): Member | undefined {
	if (!isRecord(value)) {
		return undefined;
	}

	const {instance, link, dataCentre, region, service, serverId, slots, state, epoch} =
		value as UnknownFields<Member>;
	const {serverStartMs, leftStartMs, deniedLeaveStartMs, isDraining} =
		value as UnknownFields<Member>;
	if (
		!isName(instance) ||
		!isSocketAddress(link) ||
		!isName(dataCentre) ||
		!isName(region) ||
		!isName(service) ||
		!isName(serverId) ||
		!isSlotCount(slots) ||
		!states.has(state) ||
		!isEpoch(epoch) ||
		!isOptionalTimeMs(serverStartMs) ||
		!isOptionalTimeMs(leftStartMs) ||
		!isOptionalTimeMs(deniedLeaveStartMs) ||
		!(isDraining === undefined || typeof isDraining === 'boolean')
	) {
		return undefined;
	}

	return {
		instance,
		link: {host: link.host, port: link.port},
		dataCentre,
		region,
		service,
		serverId,
		slots,
		state: state as MemberState,
		epoch,
		...(serverStartMs !== undefined && {serverStartMs}),
		...(leftStartMs !== undefined && {leftStartMs}),
		...(deniedLeaveStartMs !== undefined && {deniedLeaveStartMs}),
		...(isDraining !== undefined && {isDraining}),
	};
}
