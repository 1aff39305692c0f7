/** Graceful shutdown: callers are sent to other instances, active requests finish, then the process may exit. */
import {setTimeout as wait} from 'node:timers/promises';
import {type Logger} from '../reporting/logger.ts';
import {type EntryServer} from './entry/entry-server.ts';
import {type LocalServerManager} from './local-server-manager.ts';

/** Gives peers time to learn of the stop before the guard refuses their requests. */
const guardDelayMs = 700;
/** Fraction of the grace period after which new requests of callers are refused, so that they go elsewhere. */
const acceptShareOfGrace = 0.7;
/** Fraction of the grace period after which the stop ends in any case; the process is killed at its end. */
const deadlineShareOfGrace = 0.95;
/** After this time without any request, no more are expected. */
const quietPeriodMs = 1200;
const pollIntervalMs = 50;

export type StopOptions = {
	readonly graceMs: number;
	readonly logger: Logger;
	readonly serverManager: LocalServerManager;
	readonly entry: EntryServer;
};

export class StopSequence {
	/**
	 * @example
	 * const sequence = StopSequence.create({graceMs: 6000, logger, serverManager, entry});
	 * await sequence.run();
	 */
	static create(options: StopOptions): StopSequence {
		return new StopSequence(options);
	}

	isStopping = false;
	/** Whether new requests of callers are refused. */
	isClosing = false;

	private constructor(private readonly options: StopOptions) {}

	/** Resolves when all requests are answered and no more arrive, or the grace period is nearly over. */
	async run(): Promise<void> {
		if (this.isStopping) {
			return;
		}

		this.isStopping = true;
		const {graceMs, logger, serverManager, entry} = this.options;
		const startedAtMs = performance.now();
		let lastActiveMs = startedAtMs;
		logger.info({active: entry.active}, 'sidecar is stopping');
		serverManager.setStopping();
		for (;;) {
			await wait(pollIntervalMs);
			const nowMs = performance.now();
			const elapsedMs = nowMs - startedAtMs;
			const active = entry.active + serverManager.guard.countActive();
			lastActiveMs = active > 0 ? nowMs : lastActiveMs;
			serverManager.guard.isStopping = elapsedMs > guardDelayMs;
			this.isClosing = elapsedMs > graceMs * acceptShareOfGrace;
			const isDone = active === 0 && (this.isClosing || nowMs - lastActiveMs > quietPeriodMs);
			if (isDone || elapsedMs > graceMs * deadlineShareOfGrace) {
				break;
			}
		}

		entry.closeIdle();
		logger.info({active: entry.active}, 'sidecar stopped');
	}
}
