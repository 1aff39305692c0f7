/** Encodes and decodes announcements for the shared table and for peers. */
import {type Member, type MemberState} from '../types.ts';

const states = new Set<MemberState>(['ready', 'leaving', 'down']);

export function encodeMember(member: Member): string {
	return JSON.stringify(member);
}

/**
 * Decodes an announcement.
 *
 * @returns undefined when the text is not an announcement, for example a row left by another writer
 */
export function decodeMember(text: string): Member | undefined {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch {
		return undefined;
	}

	return isMember(value) ? value : undefined;
}

/** Checks whether a decoded value is an announcement. */
export function isMember(value: unknown): value is Member {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const member = value as Partial<Record<keyof Member, unknown>>;
	const link = member.link as Partial<Member['link']> | undefined;
	return (
		typeof member.instance === 'string' &&
		typeof link?.host === 'string' &&
		typeof link.port === 'number' &&
		typeof member.dataCentre === 'string' &&
		typeof member.region === 'string' &&
		typeof member.service === 'string' &&
		typeof member.serverId === 'string' &&
		typeof member.slots === 'number' &&
		typeof member.epoch === 'number' &&
		(member.serverStartMs === undefined || typeof member.serverStartMs === 'number') &&
		(member.leftStartMs === undefined || typeof member.leftStartMs === 'number') &&
		(member.isDraining === undefined || typeof member.isDraining === 'boolean') &&
		states.has(member.state as MemberState)
	);
}
