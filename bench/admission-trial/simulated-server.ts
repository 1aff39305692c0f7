/**
 * Simulated backend server with a limited concurrency and an internal queue.
 */

/** Difference from a server that runs every admitted request at full speed. */
export type ServerModel =
	| {readonly kind: 'exact'}
	/** Runs fewer requests at a time than the policy's slots and queues the others. */
	| {readonly kind: 'hidden'; readonly slots: number}
	/** Slows down quadratically with the number of running requests above a knee. */
	| {readonly kind: 'thrash'; readonly knee: number}
	/** Stops processing for a while at regular intervals. */
	| {readonly kind: 'stall'; readonly intervalMs: number; readonly stallMs: number}
	/** Runs at a fraction of its speed during one period. */
	| {readonly kind: 'slow'; readonly fromMs: number; readonly toMs: number; readonly speed: number};

/** Computes the speed at a time, and until when it stays the same. */
function computeSpeed(model: ServerModel, atMs: number): {speed: number; untilMs: number} {
	switch (model.kind) {
		case 'exact':
		case 'hidden':
		case 'thrash': {
			return {speed: 1, untilMs: Number.POSITIVE_INFINITY};
		}

		case 'stall': {
			const elapsedMs = atMs % model.intervalMs;
			const startMs = atMs - elapsedMs;
			const isStalled = elapsedMs < model.stallMs && atMs >= model.intervalMs;
			return isStalled
				? {speed: 0, untilMs: startMs + model.stallMs}
				: {speed: 1, untilMs: startMs + model.intervalMs};
		}

		case 'slow': {
			if (atMs < model.fromMs) {
				return {speed: 1, untilMs: model.fromMs};
			}

			return atMs < model.toMs
				? {speed: model.speed, untilMs: model.toMs}
				: {speed: 1, untilMs: Number.POSITIVE_INFINITY};
		}
	}
}

/** Computes when work that starts at a time ends, given the changes of speed. */
function computeEndMs(model: ServerModel, startMs: number, workMs: number): number {
	let atMs = startMs;
	let remainingMs = workMs;
	for (;;) {
		const {speed, untilMs} = computeSpeed(model, atMs);
		const endMs = speed > 0 ? atMs + remainingMs / speed : Number.POSITIVE_INFINITY;
		if (endMs <= untilMs) {
			return endMs;
		}

		remainingMs -= (untilMs - atMs) * speed;
		atMs = untilMs;
	}
}

type Job = {readonly workMs: number; readonly onEnd: () => void};

/** Runs jobs on the trial's simulated clock. */
export class SimulatedServer {
	/**
	 * @param schedule - schedules a function on the trial's simulated clock
	 * @example
	 * const server = SimulatedServer.create({kind: 'exact'}, schedule);
	 */
	static create(
		model: ServerModel,
		schedule: (atMs: number, run: () => void) => void,
	): SimulatedServer {
		return new SimulatedServer(model, schedule);
	}

	readonly #waiting: Job[] = [];
	readonly #model: ServerModel;
	readonly #schedule: (atMs: number, run: () => void) => void;
	#running = 0;

	private constructor(model: ServerModel, schedule: (atMs: number, run: () => void) => void) {
		this.#model = model;
		this.#schedule = schedule;
	}

	/** Adds a job; `onEnd` is called when its work is done. */
	add(workMs: number, nowMs: number, onEnd: () => void): void {
		this.#waiting.push({workMs, onEnd});
		this.#startNext(nowMs);
	}

	#startNext(nowMs: number): void {
		const slots = this.#model.kind === 'hidden' ? this.#model.slots : Number.POSITIVE_INFINITY;
		while (this.#running < slots) {
			const job = this.#waiting.shift();
			if (job === undefined) {
				return;
			}

			this.#running++;
			const endMs = computeEndMs(this.#model, nowMs, job.workMs * this.#computeSlowdownFactor());
			this.#schedule(endMs, () => {
				this.#running--;
				job.onEnd();
				this.#startNext(endMs);
			});
		}
	}

	#computeSlowdownFactor(): number {
		if (this.#model.kind !== 'thrash') {
			return 1;
		}

		const excess = Math.max(0, this.#running / this.#model.knee - 1);
		return (1 + excess) * (1 + excess);
	}
}
