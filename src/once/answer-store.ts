/**
 * Stores the answers of finished once calls: small ones in the claim's table row, large ones in the
 * object store.
 */
import {createHash} from 'node:crypto';
import {type ObjectStore} from '../store/types.ts';
import {type AnswerLocation} from './claim-row.ts';
import {type AnswerRecord, type OnceLimits, type OnceResult, type StoredAnswer} from './types.ts';

/**
 * Key prefix of stored answers; a lifecycle rule of the bucket may expire them after
 * `once.keepSeconds`.
 */
export const answerKeyPrefix = 'once-answers/';

/** Computes the SHA-256 of a body in hexadecimal. */
function computeDigest(body: Uint8Array): string {
	return createHash('sha256').update(body).digest('hex');
}

/** Writes and reads the stored answers of once calls. */
export class AnswerStore {
	/**
	 * @example
	 * const answers = AnswerStore.create(objects, policy.once);
	 */
	static create(objects: ObjectStore, limits: OnceLimits): AnswerStore {
		return new AnswerStore(objects, limits);
	}

	private constructor(
		private readonly objects: ObjectStore,
		private readonly limits: OnceLimits,
	) {}

	/**
	 * Stores an answer and returns its location.
	 *
	 * An answer that is too large, or that the object store does not accept, is dropped; only its
	 * status is kept.
	 */
	async write(nonce: string, record: AnswerRecord): Promise<AnswerLocation> {
		if (record.kind === 'dropped') {
			return record;
		}

		const {answer} = record;
		const size = answer.body.byteLength;
		if (size > this.limits.maxAnswerBytes) {
			return {kind: 'dropped', status: answer.status};
		}

		return size > this.limits.maxTableAnswerBytes
			? this.writeObject(nonce, answer)
			: {kind: 'inline', answer};
	}

	/**
	 * Reads a stored answer.
	 *
	 * Returns `unknown` if the answer was dropped, or if its object is missing, unreadable or does not
	 * match its digest.
	 */
	async read(
		location: AnswerLocation,
	): Promise<Extract<OnceResult, {kind: 'repeated' | 'unknown'}>> {
		switch (location.kind) {
			case 'inline': {
				return {kind: 'repeated', answer: location.answer};
			}

			case 'dropped': {
				return {kind: 'unknown', reason: 'answer-not-kept'};
			}

			case 'object': {
				const read = await this.objects.get(location.objectKey);
				const body = read.isOk() ? read.value : undefined;
				if (body === undefined || computeDigest(body) !== location.digest) {
					return {kind: 'unknown', reason: 'answer-unavailable'};
				}

				const {status, headers} = location;
				return {kind: 'repeated', answer: {status, headers, body}};
			}
		}
	}

	private async writeObject(nonce: string, answer: StoredAnswer): Promise<AnswerLocation> {
		const objectKey = `${answerKeyPrefix}${nonce}`;
		const {status, headers, body} = answer;
		const written = await this.objects.put(objectKey, body, 'application/octet-stream');
		return written.isOk()
			? {kind: 'object', objectKey, status, headers, digest: computeDigest(body)}
			: {kind: 'dropped', status};
	}
}
