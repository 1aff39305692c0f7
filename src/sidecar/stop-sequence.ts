/** Graceful shutdown: callers go to other instances, active requests finish, then the process may exit. */
import {setTimeout as wait} from 'node:timers/promises';
import {type Logger} from '../reporting/logger.ts';
import {type EntryServer} from './entry/entry-server.ts';
import {type LocalServerManager} from './local-server-manager.ts';
import {DrainPlan} from './drain-plan.ts';

/** Time without any request after which no more are expected. */
const quietPeriodMs = 1200;
const pollIntervalMs = 50;
/** Time in which the first requests on connections that were accepted last arrive and are answered. */
const settleMs = 250;
/** The same as a share of a short grace period. */
const settleShare = 0.04;

export type StopOptions = {
	readonly graceMs: number;
	readonly logger: Logger;
	readonly localServer: LocalServerManager;
	readonly entry: EntryServer;
};

export class StopSequence {
	/**
	 * @example
	 * const sequence = StopSequence.create({graceMs: 6000, logger, localServer, entry});
	 * await sequence.run();
	 */
	static create(options: StopOptions): StopSequence {
		return new StopSequence(options);
	}

	#startedAtMs: number | undefined;
	#stopped: Promise<void> | undefined;
	/** Whether the process is about to end: what is still read is refused. */
	#isClosing = false;
	readonly #plan: DrainPlan;

	private constructor(private readonly options: StopOptions) {
		this.#plan = DrainPlan.create(options.graceMs);
	}

	get isStopping(): boolean {
		return this.#startedAtMs !== undefined;
	}

	/**
	 * Whether a new request is accepted.
	 *
	 * @param boundMs - time within which it is answered in any case
	 */
	canAccept(boundMs: number): boolean {
		if (this.#startedAtMs === undefined) {
			return true;
		}

		return !this.#isClosing && this.#plan.canAccept(performance.now() - this.#startedAtMs, boundMs);
	}

	/** Resolves when all requests are answered and no more arrive, or the grace period is nearly over. */
	async run(): Promise<void> {
		this.#stopped ??= this.#stop();
		return this.#stopped;
	}

	async #stop(): Promise<void> {
		const {graceMs, logger, localServer, entry} = this.options;
		this.#startedAtMs = performance.now();
		logger.info({active: entry.activeRequests}, 'sidecar is stopping');
		localServer.setStopping();
		localServer.guard.setDraining(boundMs => this.#canFinish(boundMs));
		await this.#drain(this.#startedAtMs);
		this.#isClosing = true;
		localServer.guard.setStopping();
		const left = {active: entry.activeRequests, running: localServer.guard.countActive()};
		entry.endRequests();
		localServer.guard.endCalls();
		await entry.stopListening();
		// Connections that have carried no request stay open; their requests are refused until the process ends.
		await wait(Math.min(settleMs, graceMs * settleShare));
		logger.info({...left, tookMs: performance.now() - this.#startedAtMs}, 'sidecar stopped');
	}

	/** Whether a request that is answered within a time is answered before the end of the stop. */
	#canFinish(boundMs: number): boolean {
		return this.#plan.canFinish(performance.now() - this.#startedAtMs!, boundMs);
	}

	/** Waits until no request is left, or the time is over. */
	async #drain(startedAtMs: number): Promise<void> {
		const {localServer, entry} = this.options;
		const {guard} = localServer;
		let lastActiveAtMs = startedAtMs;
		let isWithdrawn = false;
		for (;;) {
			await wait(pollIntervalMs);
			const nowMs = performance.now();
			const elapsedMs = nowMs - startedAtMs;
			const active = entry.activeRequests + guard.countActive();
			lastActiveAtMs = active > 0 ? nowMs : lastActiveAtMs;
			const phase = this.#plan.decidePhase(elapsedMs);
			const isClosed = phase !== 'open' && phase !== 'bounded';
			if (isClosed && !guard.isStopping) {
				guard.setStopping();
			}

			if (phase === 'withdrawing' && !isWithdrawn) {
				isWithdrawn = true;
				entry.withdrawRequests();
			}

			const isQuiet = isClosed || nowMs - lastActiveAtMs > quietPeriodMs;
			if (phase === 'over' || (active === 0 && isQuiet)) {
				return;
			}
		}
	}
}
