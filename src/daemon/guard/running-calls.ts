/**
 * Calls that run on the local backend server, found by the opaque token that the server echoes.
 */
import {randomUUID} from 'node:crypto';
import {type CallContext} from '../../call/types.ts';
import {type RetryAllowance} from '../../retry/types.ts';

/** One call in the local server and the child calls that it makes. */
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

	/** Whether a child call was refused for overload. */
	get isOverloadedBelow(): boolean {
		return this.#isOverloadedBelow;
	}

	recordOverloadBelow(): void {
		this.#isOverloadedBelow = true;
	}

	/** Adds a child call that is cancelled with its parent; the returned function removes it. */
	addChild(cancel: () => void): () => void {
		this.#children.add(cancel);
		return () => {
			this.#children.delete(cancel);
		};
	}

	/** Cancels every child call that still runs. */
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
		// Made by create.
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

	/** Removes a call; child calls that come later are refused. */
	remove(call: RunningCall): void {
		this.#calls.delete(call.token);
	}
}
