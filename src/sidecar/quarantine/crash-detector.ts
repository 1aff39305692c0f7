/**
 * Tells whether the local server has ended when a request to it fails without an answer, and which requests ran on it
 * then: each of them may have ended it.
 */

import {judgeServerEnd, type ServerEnd, serverEnds} from './server-end.ts';

/** Failures of one end of the server come within this time. */
const sameEndMs = 1000;

export type CrashDetectorOptions = {
	/** Whether the server's address accepts connections. */
	isListening(): Promise<boolean>;
	/** Lists the digests of the requests that run on the server. */
	listRunning(): Iterable<string>;
	readNow(): number;
	/** Called once for each end of the server, with the digests of the requests that ran on it. */
	handleCrash(digests: ReadonlySet<string>): void;
	/** Counts the ends of servers that a request was at, with those that were just reported. */
	countEnds(digest: string): number;
};

export class CrashDetector {
	/**
	 * @example
	 * const detector = CrashDetector.create(options);
	 * const end = await detector.check(digest);
	 */
	static create(options: CrashDetectorOptions): CrashDetector {
		return new CrashDetector(options);
	}

	/** Requests that failed since the check began. */
	readonly #failed = new Set<string>();
	#check: Promise<boolean> | undefined;
	/** Requests that ran on the server when it last ended. */
	#suspects: ReadonlySet<string> = new Set();
	#endedAtMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly options: CrashDetectorOptions) {}

	/**
	 * Checks whether the server has ended, after the request with this digest has failed without an answer. Requests that
	 * fail at the same time share one check.
	 */
	async check(digest: string): Promise<ServerEnd> {
		this.#failed.add(digest);
		this.#check ??= this.#run();
		const hasEnded = await this.#check;
		return hasEnded
			? judgeServerEnd(this.#suspects.size, this.options.countEnds(digest))
			: serverEnds.none;
	}

	async #run(): Promise<boolean> {
		const isListening = await this.options.isListening();
		this.#check = undefined;
		const suspects = new Set([...this.#failed, ...this.options.listRunning()]);
		this.#failed.clear();
		const nowMs = this.options.readNow();
		if (isListening) {
			return false;
		}

		if (nowMs - this.#endedAtMs > sameEndMs) {
			this.#suspects = suspects;
			this.options.handleCrash(suspects);
		} else {
			this.#suspects = new Set([...this.#suspects, ...suspects]);
		}

		this.#endedAtMs = nowMs;
		return true;
	}
}
