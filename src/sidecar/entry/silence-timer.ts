/**
 * Finds out that the link of an attempt is silent, as after a lost peer or a connection that died without a reset.
 *
 * A whole request is silent when its answer takes unusually long. A streamed one may take any time, as its caller or its
 * server may be slow; its guard is asked instead.
 */
import {maxDurationMs} from '../../decoding/value-checks.ts';

/** Minimum silence after which the link is replaced: the request may still be queued, or the link may be dead. */
const minSilenceMs = 900;
/** Silence is unusual after this multiple of the expected latency. */
const silenceFactor = 4;
/** A guard that has not answered so many pings in a row, `minSilenceMs` apart, is not there any more. */
const maxUnansweredPings = 2;

export class SilenceTimer {
	/**
	 * @param handleSilent - called at most once for each start
	 * @example
	 * const timer = SilenceTimer.create(() => replaceLink());
	 * timer.startForAnswer(40);
	 */
	static create(handleSilent: () => void): SilenceTimer {
		return new SilenceTimer(handleSilent);
	}

	#timer: NodeJS.Timeout | undefined;
	#unansweredPings = 0;

	private constructor(private readonly handleSilent: () => void) {}

	/** Expects the answer within the usual time. */
	startForAnswer(expectedLatencyMs: number): void {
		const silenceMs = Math.max(minSilenceMs, expectedLatencyMs * silenceFactor);
		this.#start(Math.min(maxDurationMs, silenceMs), this.handleSilent);
	}

	/**
	 * Expects signs of the guard, and asks for one from time to time.
	 *
	 * @param ping - asks for a sign; false when the guard can't give one
	 */
	startPings(ping: () => boolean): void {
		this.#start(minSilenceMs, () => {
			if (this.#unansweredPings >= maxUnansweredPings) {
				this.handleSilent();
				return;
			}

			this.#unansweredPings += ping() ? 1 : 0;
			this.startPings(ping);
		});
	}

	recordSign(): void {
		this.#unansweredPings = 0;
	}

	stop(): void {
		clearTimeout(this.#timer);
	}

	#start(delayMs: number, handle: () => void): void {
		clearTimeout(this.#timer);
		this.#timer = setTimeout(handle, delayMs);
	}
}
