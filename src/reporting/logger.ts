/**
 * The one logger: JSON lines on standard output, with a limit on repeated messages.
 */
import process from 'node:process';
import bunyan from 'bunyan';

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Fields that a log line may carry; bodies and keys never do. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

const limitWindowMs = 1000;
const maxLinesPerWindow = 20;

/** Writes JSON lines; each message text is limited to a number of lines a second. */
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
	readonly #lines = new Map<string, number>();
	#windowStartMs = 0;

	private constructor(sink: bunyan) {
		this.#sink = sink;
	}

	debug(fields: LogFields, message: string): void {
		if (this.#canWrite(message)) {
			this.#sink.debug(fields, message);
		}
	}

	info(fields: LogFields, message: string): void {
		if (this.#canWrite(message)) {
			this.#sink.info(fields, message);
		}
	}

	warn(fields: LogFields, message: string): void {
		if (this.#canWrite(message)) {
			this.#sink.warn(fields, message);
		}
	}

	error(fields: LogFields, message: string): void {
		if (this.#canWrite(message)) {
			this.#sink.error(fields, message);
		}
	}

	/** Counts the line and says whether its message is still below the limit. */
	#canWrite(message: string): boolean {
		const nowMs = Date.now();
		if (nowMs - this.#windowStartMs >= limitWindowMs) {
			this.#writeSuppressed();
			this.#windowStartMs = nowMs;
			this.#lines.clear();
		}

		const count = (this.#lines.get(message) ?? 0) + 1;
		this.#lines.set(message, count);
		return count <= maxLinesPerWindow;
	}

	/** States how many lines the limit held back in the window that ends. */
	#writeSuppressed(): void {
		for (const [message, count] of this.#lines) {
			if (count > maxLinesPerWindow) {
				this.#sink.warn({message, suppressed: count - maxLinesPerWindow}, 'repeated log lines');
			}
		}
	}
}
