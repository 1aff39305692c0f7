/**
 * Keeps a copy of an answer while it is relayed, within a byte budget that all calls share.
 */
import {Buffer} from 'node:buffer';
import {type OutgoingHttpHeaders} from 'node:http';
import {type AnswerRecord} from '../../once/types.ts';

/** Bytes of answers that one daemon copies at the same time. */
const maxCollectedBytes = 8_388_608;

/** Bytes that collectors hold at present. */
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
		// Made by create.
	}

	/** Takes bytes out of the budget; false when they don't fit. */
	spend(bytes: number): boolean {
		if (this.#bytes + bytes > maxCollectedBytes) {
			return false;
		}

		this.#bytes += bytes;
		return true;
	}

	return(bytes: number): void {
		this.#bytes -= bytes;
	}
}

/** Lists headers as pairs of name and value. */
function listHeaders(headers: OutgoingHttpHeaders): Array<readonly [string, string]> {
	const pairs: Array<readonly [string, string]> = [];
	for (const [name, value] of Object.entries(headers)) {
		for (const single of Array.isArray(value) ? value : [value]) {
			pairs.push([name, String(single)]);
		}
	}

	return pairs;
}

/** Copies one answer; one that is too large is dropped and only its status remains. */
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

	/** Takes the head, without headers of the control layer. */
	start(status: number, headers: OutgoingHttpHeaders): void {
		this.#status = status;
		this.#headers = listHeaders(headers);
	}

	add(chunk: Uint8Array): void {
		if (this.#chunks === undefined) {
			return;
		}

		const isTooLarge = this.#bytes + chunk.byteLength > this.#maxBytes;
		if (isTooLarge || !this.#budget.spend(chunk.byteLength)) {
			this.#drop();
			return;
		}

		this.#chunks.push(chunk);
		this.#bytes += chunk.byteLength;
	}

	/** Ends the copy and gives its budget back. */
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
		this.#budget.return(this.#bytes);
		this.#bytes = 0;
		this.#chunks = undefined;
	}
}
