/**
 * Clock whose time moves only from one scheduled task to the next.
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
