/**
 * Logger that writes JSON lines to standard output and limits the rate of repeated messages.
 */
import process from 'node:process';
import bunyan from 'bunyan';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Fields of a log line. They never contain bodies or keys. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

const rateLimitWindowMs = 1000;
const maxLinesPerWindow = 20;

/** Writes JSON lines, at most `maxLinesPerWindow` a second with the same message text. */
export class Logger {
	/**
	 * @example
	 * const logger = Logger.create('primrosevalved', 'info');
	 * logger.info({server: 'catalogue-1'}, 'daemon is ready');
	 */
	static create(name: string, level: LogLevel): Logger {
		return new Logger(bunyan.createLogger({name, level, stream: process.stdout}));
	}

	readonly #sink: bunyan;
	readonly #lineCounts = new Map<string, number>();
	#windowStartMs = 0;

	private constructor(sink: bunyan) {
		this.#sink = sink;
	}

	debug(fields: LogFields, message: string): void {
		if (this.#tryUseQuota(message)) {
			this.#sink.debug(fields, message);
		}
	}

	info(fields: LogFields, message: string): void {
		if (this.#tryUseQuota(message)) {
			this.#sink.info(fields, message);
		}
	}

	warn(fields: LogFields, message: string): void {
		if (this.#tryUseQuota(message)) {
			this.#sink.warn(fields, message);
		}
	}

	error(fields: LogFields, message: string): void {
		if (this.#tryUseQuota(message)) {
			this.#sink.error(fields, message);
		}
	}

	/** Counts a line. Returns false if its message has reached the rate limit. */
	#tryUseQuota(message: string): boolean {
		const nowMs = Date.now();
		if (nowMs - this.#windowStartMs >= rateLimitWindowMs) {
			this.#logSuppressedCounts();
			this.#windowStartMs = nowMs;
			this.#lineCounts.clear();
		}

		const count = (this.#lineCounts.get(message) ?? 0) + 1;
		this.#lineCounts.set(message, count);
		return count <= maxLinesPerWindow;
	}

	/** Logs how many lines of each message were suppressed in the window that has ended. */
	#logSuppressedCounts(): void {
		for (const [message, count] of this.#lineCounts) {
			if (count > maxLinesPerWindow) {
				this.#sink.warn(
					{message, suppressed: count - maxLinesPerWindow},
					'repeated log lines were suppressed',
				);
			}
		}
	}
}
