/** Finds out that the link of an attempt is silent: an answer takes unusually long. */
import {maxDurationMs} from '../../decoding/value-checks.ts';

/** Minimum silence after which the link is replaced: the request may still be queued, or the link may be dead. */
const minSilenceMs = 900;
/** Silence is unusual after this multiple of the expected latency. */
const silenceFactor = 4;

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

	private constructor(private readonly handleSilent: () => void) {}

	/** Expects the answer within the usual time. */
	startForAnswer(expectedLatencyMs: number): void {
		const silenceMs = Math.max(minSilenceMs, expectedLatencyMs * silenceFactor);
		clearTimeout(this.#timer);
		this.#timer = setTimeout(this.handleSilent, Math.min(maxDurationMs, silenceMs));
	}

	stop(): void {
		clearTimeout(this.#timer);
	}
}
