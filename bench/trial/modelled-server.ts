/**
 * A modelled backend server: some requests run at a time, the rest wait inside it.
 */

/** How the server departs from one that runs every admitted request at full speed. */
export type ServerModel =
	| {readonly kind: 'exact'}
	/** Runs fewer requests at a time than the policy says and queues the others. */
	| {readonly kind: 'hidden'; readonly slots: number}
	/** Slows down with each request above a knee. */
	| {readonly kind: 'thrash'; readonly knee: number}
	/** Stands still for a while at regular intervals. */
	| {readonly kind: 'stall'; readonly everyMs: number; readonly forMs: number}
	/** Runs at a share of its speed from one moment to another. */
	| {readonly kind: 'slow'; readonly fromMs: number; readonly toMs: number; readonly speed: number};

/** Computes the speed at a moment, and when it changes next. */
function computeSpeed(model: ServerModel, atMs: number): {speed: number; untilMs: number} {
	switch (model.kind) {
		case 'exact':
		case 'hidden':
		case 'thrash': {
			return {speed: 1, untilMs: Number.POSITIVE_INFINITY};
		}

		case 'stall': {
			const intoMs = atMs % model.everyMs;
			const startMs = atMs - intoMs;
			const isStalled = intoMs < model.forMs && atMs >= model.everyMs;
			return isStalled
				? {speed: 0, untilMs: startMs + model.forMs}
				: {speed: 1, untilMs: startMs + model.everyMs};
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

/** Computes when work that starts now is done. */
function computeEndMs(model: ServerModel, startMs: number, workMs: number): number {
	let atMs = startMs;
	let leftMs = workMs;
	for (;;) {
		const {speed, untilMs} = computeSpeed(model, atMs);
		const doneMs = speed > 0 ? atMs + leftMs / speed : Number.POSITIVE_INFINITY;
		if (doneMs <= untilMs) {
			return doneMs;
		}

		leftMs -= (untilMs - atMs) * speed;
		atMs = untilMs;
	}
}

type Job = {readonly workMs: number; readonly end: () => void};

/** Runs jobs on a scheduler of events. */
export class ModelledServer {
	/**
	 * @param schedule - runs a function at a time of the trial's clock
	 * @example
	 * const server = ModelledServer.create({kind: 'exact'}, schedule);
	 */
	static create(
		model: ServerModel,
		schedule: (atMs: number, run: () => void) => void,
	): ModelledServer {
		return new ModelledServer(model, schedule);
	}

	readonly #waiting: Job[] = [];
	readonly #model: ServerModel;
	readonly #schedule: (atMs: number, run: () => void) => void;
	#running = 0;

	private constructor(model: ServerModel, schedule: (atMs: number, run: () => void) => void) {
		this.#model = model;
		this.#schedule = schedule;
	}

	add(workMs: number, nowMs: number, end: () => void): void {
		this.#waiting.push({workMs, end});
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
			const endMs = computeEndMs(this.#model, nowMs, job.workMs * this.#computeSlowdown());
			this.#schedule(endMs, () => {
				this.#running--;
				job.end();
				this.#startNext(endMs);
			});
		}
	}

	#computeSlowdown(): number {
		if (this.#model.kind !== 'thrash') {
			return 1;
		}

		const excess = Math.max(0, this.#running / this.#model.knee - 1);
		return (1 + excess) * (1 + excess);
	}
}
