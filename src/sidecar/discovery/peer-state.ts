/** Messages in which sidecars synchronize configuration and members, as JSON. */
import {type Member} from '../types.ts';
import {isMember} from './member-codec.ts';

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
	const value = parseJson(text);
	return isPeerState(value) ? value : undefined;
}

/**
 * Decodes a sync request.
 *
 * @returns undefined when the text is not a valid request; it must then change nothing
 */
export function decodeSyncRequest(text: string): SyncRequest | undefined {
	const value = parseJson(text) as Partial<SyncRequest> | undefined;
	const isRequest =
		typeof value?.wantsMembers === 'boolean' &&
		typeof value.from === 'string' &&
		isPeerState(value.state);
	return isRequest ? (value as SyncRequest) : undefined;
}

function parseJson(text: string): unknown {
	try {
		return JSON.parse(text) as unknown;
	} catch {
		return undefined;
	}
}

function isPeerState(value: unknown): value is PeerState {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {version, config, own, known, members} = value as Partial<Record<keyof PeerState, unknown>>;
	return (
		typeof version === 'number' &&
		(config === undefined || typeof config === 'string') &&
		(own === undefined || isMember(own)) &&
		(known === undefined || isMember(known)) &&
		(members === undefined || (Array.isArray(members) && members.every(each => isMember(each))))
	);
}
