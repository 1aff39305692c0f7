/** What sidecars hand each other besides requests: configuration and members, as JSON. */
import {type Member} from '../types.ts';
import {isMember} from './member-codec.ts';

export type PeerState = {
	/** Version of the configuration in force at the teller. */
	readonly version: number;
	/** Source of that configuration; left out for those who have it. */
	readonly config?: string;
	/** What the teller announces of its own server. */
	readonly own?: Member;
	readonly members?: readonly Member[];
};

export type PeerQuestion = {
	readonly wantsMembers: boolean;
	/** What the asker has and the peer may lack. */
	readonly state: PeerState;
};

/**
 * Decodes the answer to a question.
 *
 * @returns undefined when the text is no answer; it then changes nothing
 */
export function decodePeerState(text: string): PeerState | undefined {
	const value = parseJson(text);
	return isPeerState(value) ? value : undefined;
}

/**
 * Decodes a question.
 *
 * @returns undefined when the text is no question; it then changes nothing
 */
export function decodePeerQuestion(text: string): PeerQuestion | undefined {
	const value = parseJson(text) as Partial<PeerQuestion> | undefined;
	const isQuestion = typeof value?.wantsMembers === 'boolean' && isPeerState(value.state);
	return isQuestion ? (value as PeerQuestion) : undefined;
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

	const {version, config, own, members} = value as Partial<Record<keyof PeerState, unknown>>;
	return (
		typeof version === 'number' &&
		(config === undefined || typeof config === 'string') &&
		(own === undefined || isMember(own)) &&
		(members === undefined || (Array.isArray(members) && members.every(each => isMember(each))))
	);
}
