/** Decides when a sidecar starts new work, from how late it reads its input. */
import {AcceptQueue} from './accept-queue.ts';
import {LoopLag} from './loop-lag.ts';
import {RunQueue} from './run-queue.ts';

export class Scheduler {
	/**
	 * @example
	 * const scheduler = Scheduler.create();
	 * scheduler.start();
	 * scheduler.runQueue.submit(() => call.start());
	 */
	static create(): Scheduler {
		return new Scheduler();
	}

	readonly lag = LoopLag.create();
	/** Connections of callers that wait to be accepted. */
	readonly callerAcceptQueue = AcceptQueue.create();
	/** Connections of peers that wait to be accepted. */
	readonly linkAcceptQueue = AcceptQueue.create();
	readonly runQueue = RunQueue.create({
		lag: this.lag,
		acceptQueues: [this.callerAcceptQueue, this.linkAcceptQueue],
	});

	private constructor() {
		// Instances are created with `create`.
	}

	start(): void {
		this.lag.start();
	}

	stop(): void {
		this.lag.stop();
	}
}
