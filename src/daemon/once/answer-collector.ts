/**
 * Copies answers while they are relayed, within a byte budget that all calls share.
 */
import {Buffer} from 'node:buffer';
import {type OutgoingHttpHeaders} from 'node:http';
import {type AnswerRecord} from '../../once/types.ts';

/** Largest number of answer bytes that the collectors of one budget hold at the same time. */
const maxCollectedBytes = 8_388_608;

/** Counts the bytes that all collectors hold, up to a limit. */
export class CollectorBudget {
	/**
	 * @example
	 * const budget = CollectorBudget.create();
	 */
	static create(): CollectorBudget {
		return new CollectorBudget();
	}

	#bytes = 0;

	private constructor() {
		// Use create.
	}

	/** Reserves bytes; returns false if they exceed the budget. */
	tryReserve(bytes: number): boolean {
		if (this.#bytes + bytes > maxCollectedBytes) {
			return false;
		}

		this.#bytes += bytes;
		return true;
	}

	release(bytes: number): void {
		this.#bytes -= bytes;
	}
}

/** Lists headers as name-value pairs, one for each value of a repeated header. */
function listHeaders(headers: OutgoingHttpHeaders): Array<readonly [string, string]> {
	const pairs: Array<readonly [string, string]> = [];
	for (const [name, value] of Object.entries(headers)) {
		for (const single of Array.isArray(value) ? value : [value]) {
			pairs.push([name, String(single)]);
		}
	}

	return pairs;
}

/** Copies one answer. If it exceeds a limit, the copy is dropped and only its status is kept. */
export class AnswerCollector {
	/**
	 * @example
	 * const collector = AnswerCollector.create(budget, policy.once.maxAnswerBytes);
	 */
	static create(budget: CollectorBudget, maxBytes: number): AnswerCollector {
		return new AnswerCollector(budget, maxBytes);
	}

	readonly #budget: CollectorBudget;
	readonly #maxBytes: number;
	#status = 0;
	#headers: Array<readonly [string, string]> = [];
	#chunks: Uint8Array[] | undefined = [];
	#bytes = 0;

	private constructor(budget: CollectorBudget, maxBytes: number) {
		this.#budget = budget;
		this.#maxBytes = maxBytes;
	}

	/** Records the head; `headers` must not include control headers. */
	start(status: number, headers: OutgoingHttpHeaders): void {
		this.#status = status;
		this.#headers = listHeaders(headers);
	}

	add(chunk: Uint8Array): void {
		if (this.#chunks === undefined) {
			return;
		}

		const isTooLarge = this.#bytes + chunk.byteLength > this.#maxBytes;
		if (isTooLarge || !this.#budget.tryReserve(chunk.byteLength)) {
			this.#drop();
			return;
		}

		this.#chunks.push(chunk);
		this.#bytes += chunk.byteLength;
	}

	/** Returns the copy and releases its bytes to the budget. */
	finish(): AnswerRecord {
		const chunks = this.#chunks;
		if (chunks === undefined) {
			return {kind: 'dropped', status: this.#status};
		}

		const body = Buffer.concat(chunks);
		this.#drop();
		return {kind: 'kept', answer: {status: this.#status, headers: this.#headers, body}};
	}

	#drop(): void {
		this.#budget.release(this.#bytes);
		this.#bytes = 0;
		this.#chunks = undefined;
	}
}
