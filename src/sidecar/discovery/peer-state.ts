/** Messages in which sidecars synchronize configuration and members, as JSON. */
import {type Member} from '../types.ts';
import {
	isConfigVersion,
	isName,
	isRecord,
	type UnknownFields,
} from '../../decoding/value-checks.ts';
import {readMember} from './member-codec.ts';

export type PeerState = {
	/** Version of the sender's configuration. */
	readonly version: number;
	/** Source of that configuration; omitted when the receiver has it. */
	readonly config?: string;
	/** The sender's announcement of its own instance. */
	readonly own?: Member;
	/** The receiver's announcement, as the sender knows it: a receiver that has restarted may not. */
	readonly known?: Member;
	readonly members?: readonly Member[];
};

export type SyncRequest = {
	readonly wantsMembers: boolean;
	/** Instance of the sender. */
	readonly from: string;
	/** State of the sender that the receiver may lack. */
	readonly state: PeerState;
};

/**
 * Decodes the response to a sync request.
 *
 * @returns undefined when the text is not a valid response; it must then change nothing
 */
export function decodePeerState(text: string): PeerState | undefined {
	return readPeerState(parseJson(text));
}

/**
 * Decodes a sync request.
 *
 * @returns undefined when the text is not a valid request; it must then change nothing
 */
export function decodeSyncRequest(text: string): SyncRequest | undefined {
	const value = parseJson(text);
	if (!isRecord(value)) {
		return undefined;
	}

	const {wantsMembers, from} = value as UnknownFields<SyncRequest>;
	const state = readPeerState(value.state);
	return typeof wantsMembers === 'boolean' && isName(from) && state !== undefined
		? {wantsMembers, from, state}
		: undefined;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

function readPeerState(value: unknown): PeerState | undefined {
	if (!isRecord(value)) {
		return undefined;
	}

	const {version, config, own, known, members} = value as UnknownFields<PeerState>;
	const isValid =
		isConfigVersion(version) &&
		(config === undefined || typeof config === 'string') &&
		(members === undefined || Array.isArray(members));
	if (!isValid) {
		return undefined;
	}

	const ownMember = own === undefined ? undefined : readMember(own);
	const knownMember = known === undefined ? undefined : readMember(known);
	if (
		(own !== undefined && ownMember === undefined) ||
		(known !== undefined && knownMember === undefined)
	) {
		return undefined;
	}

	return {
		version,
		...(config !== undefined && {config}),
		...(ownMember !== undefined && {own: ownMember}),
		...(knownMember !== undefined && {known: knownMember}),
		...(members !== undefined && {members: readMembers(members)}),
	};
}

/** Reads a list of members; those that can't be used are left out. */
function readMembers(values: readonly unknown[]): Member[] {
	const members: Member[] = [];
	for (const value of values) {
		const member = readMember(value);
		if (member !== undefined) {
			members.push(member);
		}
	}

	return members;
}
