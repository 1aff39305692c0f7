/** The record of one case: what was sent, answered and run, in the order of time. */
import {createWriteStream, type WriteStream} from 'node:fs';
import process from 'node:process';

export class CaseRecord {
	/**
	 * @example
	 * const record = CaseRecord.create('review/6/record.txt');
	 * record.add('killed the sidecar a');
	 */
	static create(file: string): CaseRecord {
		return new CaseRecord(createWriteStream(file));
	}

	readonly #startedAtMs = performance.now();

	private constructor(private readonly stream: WriteStream) {}

	/** Time since the start of the case, in milliseconds. */
	readMs(): number {
		return performance.now() - this.#startedAtMs;
	}

	add(text: string): void {
		this.stream.write(`${(this.readMs() / 1000).toFixed(3).padStart(8)} ${text}\n`);
	}

	/** Adds a line that is also printed. */
	print(text: string): void {
		this.add(text);
		process.stdout.write(`${text}\n`);
	}

	async close(): Promise<void> {
		return new Promise(resolve => {
			this.stream.end(resolve);
		});
	}
}
