/** Graceful shutdown: callers go to other instances, active requests finish, then the process may exit. */
import {setTimeout as wait} from 'node:timers/promises';
import {type Logger} from '../reporting/logger.ts';
import {type EntryServer} from './entry/entry-server.ts';
import {type LocalServerManager} from './local-server-manager.ts';

/** Gives peers time to receive the announcement of the stop before the guard refuses their requests. */
const guardRefusalDelayMs = 700;
/** Fraction of the grace period after which callers are refused and asked to go elsewhere. */
const acceptFraction = 0.7;
/** Fraction of the grace period after which the stop ends in any case; at its end the process is killed. */
const deadlineFraction = 0.95;
/** Time without any request after which no more are expected. */
const quietPeriodMs = 1200;
const pollIntervalMs = 50;
/** Time in which the first requests on connections that were accepted last arrive and are answered. */
const settleMs = 250;

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
		const {graceMs, logger, localServer, entry} = this.options;
		const startedAtMs = performance.now();
		let lastActiveAtMs = startedAtMs;
		logger.info({active: entry.activeRequests}, 'sidecar is stopping');
		localServer.setStopping();
		for (;;) {
			await wait(pollIntervalMs);
			const nowMs = performance.now();
			const elapsedMs = nowMs - startedAtMs;
			const active = entry.activeRequests + localServer.guard.countActive();
			lastActiveAtMs = active > 0 ? nowMs : lastActiveAtMs;
			localServer.guard.isStopping = elapsedMs > guardRefusalDelayMs;
			this.isClosing = elapsedMs > graceMs * acceptFraction;
			const isDone = active === 0 && (this.isClosing || nowMs - lastActiveAtMs > quietPeriodMs);
			if (isDone || elapsedMs > graceMs * deadlineFraction) {
				break;
			}
		}

		await entry.stopListening();
		await wait(Math.min(settleMs, graceMs * (1 - deadlineFraction)));
		logger.info({active: entry.activeRequests}, 'sidecar stopped');
	}
}
