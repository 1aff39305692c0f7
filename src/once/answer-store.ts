/**
 * Keeps the answers of finished once calls: small ones in the claim's row, large ones as objects.
 */
import {createHash} from 'node:crypto';
import {type ObjectStore} from '../store/types.ts';
import {type AnswerPlace} from './claim-row.ts';
import {type AnswerRecord, type OnceLimits, type OnceResult, type StoredAnswer} from './types.ts';

/** Objects below this prefix may be removed after `once.keepSeconds` by a rule of the bucket. */
export const answerPrefix = 'once-answers/';

/** Computes the digest of a body. */
function computeDigest(body: Uint8Array): string {
	return createHash('sha256').update(body).digest('hex');
}

/** Writes and reads answers. */
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

	/** Puts an answer in its place; one that can't be kept is dropped. */
	async write(nonce: string, record: AnswerRecord): Promise<AnswerPlace> {
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

	/** Reads an answer back, whole or not at all. */
	async read(place: AnswerPlace): Promise<Extract<OnceResult, {kind: 'repeated' | 'unknown'}>> {
		switch (place.kind) {
			case 'inline': {
				return {kind: 'repeated', answer: place.answer};
			}

			case 'dropped': {
				return {kind: 'unknown', reason: 'answer-not-kept'};
			}

			case 'object': {
				const read = await this.objects.get(place.objectKey);
				const body = read.isOk() ? read.value : undefined;
				if (body === undefined || computeDigest(body) !== place.digest) {
					return {kind: 'unknown', reason: 'answer-unavailable'};
				}

				const {status, headers} = place;
				return {kind: 'repeated', answer: {status, headers, body}};
			}
		}
	}

	private async writeObject(nonce: string, answer: StoredAnswer): Promise<AnswerPlace> {
		const objectKey = `${answerPrefix}${nonce}`;
		const {status, headers, body} = answer;
		const written = await this.objects.put(objectKey, body, 'application/octet-stream');
		return written.isOk()
			? {kind: 'object', objectKey, status, headers, digest: computeDigest(body)}
			: {kind: 'dropped', status};
	}
}
