/**
 * A simulated process that can be killed, frozen (as by SIGSTOP) and thawed (as by SIGCONT).
 */

/** Limit of the tasks queued for a frozen process, since its socket buffers are bounded. */
const maxPendingTasks = 50;

export class SimProcess {
	isRunning = true;
	isFrozen = false;
	readonly #pendingTasks: Array<() => void | Promise<void>> = [];

	/** Stops the process at once, without notice to other processes. */
	kill(): void {
		this.isRunning = false;
	}

	freeze(): void {
		this.isFrozen = true;
	}

	/** Resumes a frozen process and runs its queued tasks. */
	async thaw(): Promise<void> {
		this.isFrozen = false;
		for (const task of this.#pendingTasks.splice(0)) {
			await task();
		}
	}

	/** Runs a task of the process, or queues it while the process is frozen. */
	protected run(task: () => void | Promise<void>): void {
		if (!this.isRunning) {
			return;
		}

		if (!this.isFrozen) {
			void task();
			return;
		}

		// Drops the rest: a frozen process misses timer ticks and keeps only what its socket buffers hold.
		if (this.#pendingTasks.length < maxPendingTasks) {
			this.#pendingTasks.push(task);
		}
	}
}
