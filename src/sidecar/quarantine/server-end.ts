/**
 * Weighs whether a request under which its server ended may be sent to another one (poison message). One of the requests
 * that ran there is guilty: the fewer they were, and the more ends a request was at, the likelier it is this one.
 */

export const serverEnds = {
	/** The server goes on; the answer was lost. */
	none: 'none',
	/** The server has ended under several requests, and this one was at no other end. */
	shared: 'shared',
	/** The server has ended, probably by this request. */
	suspect: 'suspect',
} as const;
export type ServerEnd = (typeof serverEnds)[keyof typeof serverEnds];

/**
 * Judges a request under which a server ended.
 *
 * @param ran - number of different requests that ran there
 * @param ends - number of ends that the request was at, with this one
 * @example
 * judgeServerEnd(12, 1); // 'shared'
 */
export function judgeServerEnd(ran: number, ends: number): ServerEnd {
	return ran > 1 && ends <= 1 ? serverEnds.shared : serverEnds.suspect;
}

/**
 * Whether a request may be sent to another server: once for an end that it shares with others.
 *
 * @param hasSharedBefore - whether another server has ended under the same attempt of the caller
 */
export function canSendOn(end: ServerEnd, hasSharedBefore: boolean): boolean {
	switch (end) {
		case serverEnds.none: {
			return true;
		}

		case serverEnds.shared: {
			return !hasSharedBefore;
		}

		case serverEnds.suspect: {
			return false;
		}
	}
}
