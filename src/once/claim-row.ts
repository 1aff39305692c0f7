/**
 * Codec of the table row that holds the claim of one key, and the answer of a finished call.
 */
import {Buffer} from 'node:buffer';
import {type RowKey, type TableRow} from '../store/types.ts';
import {type Holder, type OnceRequest, type StoredAnswer} from './types.ts';

const claimSort = 'claim';

/** Where the answer of a finished call is. */
export type AnswerPlace =
	| {readonly kind: 'inline'; readonly answer: StoredAnswer}
	| {
			readonly kind: 'object';
			readonly objectKey: string;
			readonly status: number;
			readonly headers: StoredAnswer['headers'];
			/** SHA-256 of the body in hexadecimal. */
			readonly digest: string;
	  }
	| {readonly kind: 'dropped'; readonly status: number};

export type ClaimState =
	| {readonly kind: 'claimed'; readonly holder: Holder}
	| {readonly kind: 'done'; readonly place: AnswerPlace}
	| {readonly kind: 'unknown'; readonly reason: string};

export type Claim = {
	readonly nonce: string;
	readonly fingerprint: string;
	readonly state: ClaimState;
};

type StoredPlace =
	| {
			readonly kind: 'inline';
			readonly status: number;
			readonly headers: StoredAnswer['headers'];
			readonly bodyBase64: string;
	  }
	| Exclude<AnswerPlace, {kind: 'inline'}>;

type StoredClaim = {
	readonly nonce: string;
	readonly fingerprint: string;
	readonly state:
		Exclude<ClaimState, {kind: 'done'}> | {readonly kind: 'done'; readonly place: StoredPlace};
};

/**
 * Computes the row key of a once call. Caller and key are escaped, so that no two pairs meet.
 *
 * @example
 * computeRowKey({service: 'commandes', caller: 'atelier-1', key: 'k1', fingerprint: ''});
 */
export function computeRowKey(request: OnceRequest): RowKey {
	const caller = encodeURIComponent(request.caller);
	const key = encodeURIComponent(request.key);
	return {partition: `once/${request.service}/${caller}/${key}`, sort: claimSort};
}

/**
 * Computes the revision that a claim's row carries; it changes with nonce and state.
 *
 * @example
 * computeRevision('n1', 'claimed'); // 'n1/claimed'
 */
export function computeRevision(nonce: string, state: ClaimState['kind']): string {
	return `${nonce}/${state}`;
}

/** Writes where an answer is. */
function encodePlace(place: AnswerPlace): StoredPlace {
	switch (place.kind) {
		case 'inline': {
			const {status, headers, body} = place.answer;
			return {kind: 'inline', status, headers, bodyBase64: Buffer.from(body).toString('base64')};
		}

		case 'object':
		case 'dropped': {
			return place;
		}
	}
}

/** Reads where an answer is. */
function decodePlace(place: StoredPlace): AnswerPlace {
	switch (place.kind) {
		case 'inline': {
			const {status, headers, bodyBase64} = place;
			return {kind: 'inline', answer: {status, headers, body: Buffer.from(bodyBase64, 'base64')}};
		}

		case 'object':
		case 'dropped': {
			return place;
		}
	}
}

/**
 * Writes a claim as a table row.
 *
 * @param expiresAtSeconds - seconds since 1970 after which the platform may remove the row
 * @example
 * encodeClaim(computeRowKey(request), claim, nowSeconds + limits.keepSeconds);
 */
export function encodeClaim(key: RowKey, claim: Claim, expiresAtSeconds: number): TableRow {
	const {nonce, fingerprint, state} = claim;
	const stored: StoredClaim = {
		nonce,
		fingerprint,
		state: state.kind === 'done' ? {kind: 'done', place: encodePlace(state.place)} : state,
	};
	return {
		partition: key.partition,
		sort: key.sort,
		revision: computeRevision(nonce, state.kind),
		body: JSON.stringify(stored),
		expiresAtSeconds,
	};
}

/**
 * Reads a claim from its row.
 *
 * @returns undefined when the row is not a claim
 * @example
 * const claim = decodeClaim(row);
 */
export function decodeClaim(row: TableRow): Claim | undefined {
	try {
		const {nonce, fingerprint, state} = JSON.parse(row.body) as StoredClaim;
		if (row.revision !== computeRevision(nonce, state.kind)) {
			return undefined;
		}

		return {
			nonce,
			fingerprint,
			state: state.kind === 'done' ? {kind: 'done', place: decodePlace(state.place)} : state,
		};
	} catch {
		return undefined;
	}
}
