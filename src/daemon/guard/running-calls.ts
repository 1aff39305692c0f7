/**
 * Calls that run on the local backend server. The server copies the opaque token of a call into the
 * requests that it makes for it, which identifies them as child calls.
 */
import {randomUUID} from 'node:crypto';
import {type CallContext} from '../../call/types.ts';
import {type RetryAllowance} from '../../retry/types.ts';

/** One call that runs on the local backend server, with its child calls. */
export class RunningCall {
	/**
	 * @example
	 * const call = RunningCall.create(context, allowance, deadlineAtMs);
	 */
	static create(
		context: CallContext,
		allowance: RetryAllowance,
		deadlineAtMs: number,
	): RunningCall {
		return new RunningCall(context, allowance, deadlineAtMs);
	}

	readonly token = randomUUID();
	readonly #children = new Set<() => void>();
	#isOverloadedBelow = false;

	private constructor(
		readonly context: CallContext,
		readonly allowance: RetryAllowance,
		/** Monotonic milliseconds. */
		readonly deadlineAtMs: number,
	) {}

	/** Whether a child call was refused because of overload. */
	get isOverloadedBelow(): boolean {
		return this.#isOverloadedBelow;
	}

	recordOverloadBelow(): void {
		this.#isOverloadedBelow = true;
	}

	/** Adds a child call, which is cancelled with its parent; the returned function removes it. */
	addChild(cancel: () => void): () => void {
		this.#children.add(cancel);
		return () => {
			this.#children.delete(cancel);
		};
	}

	cancelChildren(): void {
		for (const cancel of this.#children) {
			cancel();
		}

		this.#children.clear();
	}
}

/** All calls that run on the local backend server. */
export class RunningCalls {
	/**
	 * @example
	 * const calls = RunningCalls.create();
	 */
	static create(): RunningCalls {
		return new RunningCalls();
	}

	readonly #calls = new Map<string, RunningCall>();

	private constructor() {
		// Use create.
	}

	get size(): number {
		return this.#calls.size;
	}

	add(call: RunningCall): void {
		this.#calls.set(call.token, call);
	}

	findByToken(token: string): RunningCall | undefined {
		return this.#calls.get(token);
	}

	/** Removes a call. Child calls that arrive afterwards are refused. */
	remove(call: RunningCall): void {
		this.#calls.delete(call.token);
	}
}
