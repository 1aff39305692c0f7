/**
 * Codec of the table row that stores the claim of one idempotency key, and the result of its call once
 * it has ended.
 */
import {Buffer} from 'node:buffer';
import {type RowKey, type TableRow} from '../store/types.ts';
import {type ClaimHolder, type OnceRequest, type StoredAnswer} from './types.ts';

const claimSortKey = 'claim';

/** Where the answer of a finished call is stored. */
export type AnswerLocation =
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

/** State of a claim: open, or ended with or without an answer. */
export type ClaimState =
	| {readonly kind: 'claimed'; readonly holder: ClaimHolder}
	| {readonly kind: 'done'; readonly place: AnswerLocation}
	| {readonly kind: 'unknown'; readonly reason: string};

/** Reservation of an idempotency key for one attempt, which its nonce identifies. */
export type Claim = {
	readonly nonce: string;
	readonly fingerprint: string;
	readonly state: ClaimState;
};

/** An answer location in JSON, with a binary body as base64. */
type StoredAnswerLocation =
	| {
			readonly kind: 'inline';
			readonly status: number;
			readonly headers: StoredAnswer['headers'];
			readonly bodyBase64: string;
	  }
	| Exclude<AnswerLocation, {kind: 'inline'}>;

/** JSON body of a claim's row. */
type StoredClaim = {
	readonly nonce: string;
	readonly fingerprint: string;
	readonly state:
		| Exclude<ClaimState, {kind: 'done'}>
		| {readonly kind: 'done'; readonly place: StoredAnswerLocation};
};

/**
 * Computes the row key of a once call.
 *
 * Caller and key are percent-encoded, so that different pairs never yield the same row key.
 *
 * @example
 * computeRowKey({service: 'commandes', caller: 'atelier-1', key: 'k1', fingerprint: ''});
 */
export function computeRowKey(request: OnceRequest): RowKey {
	const caller = encodeURIComponent(request.caller);
	const key = encodeURIComponent(request.key);
	return {partition: `once/${request.service}/${caller}/${key}`, sort: claimSortKey};
}

/**
 * Computes the revision of a claim's row, which conditional writes compare; it changes with nonce and
 * state.
 *
 * @example
 * computeRevision('n1', 'claimed'); // 'n1/claimed'
 */
export function computeRevision(nonce: string, state: ClaimState['kind']): string {
	return `${nonce}/${state}`;
}

function encodeLocation(location: AnswerLocation): StoredAnswerLocation {
	switch (location.kind) {
		case 'inline': {
			const {status, headers, body} = location.answer;
			return {kind: 'inline', status, headers, bodyBase64: Buffer.from(body).toString('base64')};
		}

		case 'object':
		case 'dropped': {
			return location;
		}
	}
}

function decodeLocation(location: StoredAnswerLocation): AnswerLocation {
	switch (location.kind) {
		case 'inline': {
			const {status, headers, bodyBase64} = location;
			return {kind: 'inline', answer: {status, headers, body: Buffer.from(bodyBase64, 'base64')}};
		}

		case 'object':
		case 'dropped': {
			return location;
		}
	}
}

/**
 * Encodes a claim as a table row.
 *
 * @param expiresAtSeconds - Unix time in seconds after which the platform may delete the row
 * @example
 * encodeClaim(computeRowKey(request), claim, nowSeconds + limits.keepSeconds);
 */
export function encodeClaim(key: RowKey, claim: Claim, expiresAtSeconds: number): TableRow {
	const {nonce, fingerprint, state} = claim;
	const stored: StoredClaim = {
		nonce,
		fingerprint,
		state: state.kind === 'done' ? {kind: 'done', place: encodeLocation(state.place)} : state,
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
 * Decodes a claim from its table row.
 *
 * @returns undefined if the row is not a valid claim, or its revision does not match its content
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
			state: state.kind === 'done' ? {kind: 'done', place: decodeLocation(state.place)} : state,
		};
	} catch {
		return undefined;
	}
}
