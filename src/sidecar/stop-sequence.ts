/** A planned stop: callers go elsewhere, what is under way ends whole, then the process may end. */
import {setTimeout as wait} from 'node:timers/promises';
import {type Logger} from '../reporting/logger.ts';
import {type EntryServer} from './entry/entry-server.ts';
import {type ServerSide} from './server-side.ts';

/** For this long peers hear of the stop before the guard refuses them. */
const guardServesOnMs = 700;
/** Part of the grace after which callers who still come are refused and asked to go elsewhere. */
const serveOnShare = 0.7;
/** Part of the grace after which the process ends in any case; the kill comes at its end. */
const endShare = 0.95;
/** Without any request for this long nobody comes any more. */
const quietMs = 1200;
const checkMs = 50;

export type StopOptions = {
	readonly graceMs: number;
	readonly logger: Logger;
	readonly serverSide: ServerSide;
	readonly entry: EntryServer;
};

export class StopSequence {
	/**
	 * @example
	 * const sequence = StopSequence.create({graceMs: 6000, logger, serverSide, entry});
	 * await sequence.run();
	 */
	static create(options: StopOptions): StopSequence {
		return new StopSequence(options);
	}

	isStopping = false;
	/** Whether callers who come are refused. */
	isClosing = false;

	private constructor(private readonly options: StopOptions) {}

	/** Resolves when all requests are answered and nobody comes any more, or the grace is nearly over. */
	async run(): Promise<void> {
		if (this.isStopping) {
			return;
		}

		this.isStopping = true;
		const {graceMs, logger, serverSide, entry} = this.options;
		const startedAtMs = performance.now();
		let activeAtMs = startedAtMs;
		logger.info({active: entry.active}, 'sidecar stops');
		serverSide.setStopping();
		for (;;) {
			await wait(checkMs);
			const nowMs = performance.now();
			const passedMs = nowMs - startedAtMs;
			const active = entry.active + serverSide.guard.countActive();
			activeAtMs = active > 0 ? nowMs : activeAtMs;
			serverSide.guard.isStopping = passedMs > guardServesOnMs;
			this.isClosing = passedMs > graceMs * serveOnShare;
			const isDone = active === 0 && (this.isClosing || nowMs - activeAtMs > quietMs);
			if (isDone || passedMs > graceMs * endShare) {
				break;
			}
		}

		entry.closeIdle();
		logger.info({active: entry.active}, 'sidecar has stopped');
	}
}
