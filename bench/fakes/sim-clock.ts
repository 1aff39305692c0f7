/**
 * Simulated clock that advances one millisecond at a time and runs the tasks that are due.
 */

type Task = () => void | Promise<void>;

export class SimClock {
	/**
	 * @example
	 * const clock = SimClock.create();
	 * clock.schedule(100, () => send());
	 * await clock.runUntil(1000);
	 */
	static create(): SimClock {
		return new SimClock(0);
	}

	readonly #tasks = new Map<number, Task[]>();

	private constructor(private time: number) {}

	get nowMs(): number {
		return this.time;
	}

	/** Runs a task after a delay, which is rounded up to whole milliseconds. */
	schedule(delayMs: number, task: Task): void {
		const dueMs = this.time + Math.max(1, Math.ceil(delayMs));
		const tasks = this.#tasks.get(dueMs);
		if (tasks) {
			tasks.push(task);
		} else {
			this.#tasks.set(dueMs, [task]);
		}
	}

	/** Advances the clock to `endMs` and awaits each task that is due before the next one. */
	async runUntil(endMs: number): Promise<void> {
		while (this.time < endMs) {
			this.time++;
			const tasks = this.#tasks.get(this.time);
			if (!tasks) {
				continue;
			}

			this.#tasks.delete(this.time);
			for (const task of tasks) {
				const done = task();
				if (done) {
					await done;
				}
			}
		}
	}
}
