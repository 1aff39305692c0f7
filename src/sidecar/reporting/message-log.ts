/** Counts the messages from outside that changed nothing, and logs a limited number of them. */
import {type Logger} from '../../reporting/logger.ts';

/** Where a message came in. */
export const messageSources = ['control', 'link', 'peer', 'members', 'configuration'] as const;
export type MessageSource = (typeof messageSources)[number];

/** Why a message changed nothing. */
export const ignoreCauses = [
	/** It ended early, was too long or took too long. */
	'unread',
	/** A field is missing, of another type or out of range. */
	'undecodable',
	/** A later message is known. */
	'outdated',
	/** It contradicts what is known of its sender. */
	'refused',
	/** It could not be carried out. */
	'failed',
] as const;
export type IgnoreCause = (typeof ignoreCauses)[number];

/** Lines about one source in each window; a sender must not fill the log. */
const maxLinesPerWindow = 5;
const windowMs = 10_000;
/** Longest reason in a line: it may quote the message. */
const maxReasonLength = 300;

type SourceWindow = {startedAtMs: number; lines: number; dropped: number};

export type IgnoredMessage = {
	readonly source: MessageSource;
	readonly cause: IgnoreCause;
	readonly reason: string;
	/** Address or instance of the sender; empty when it is not known. */
	readonly sender: string;
};

export class MessageLog {
	/**
	 * @param readNow - the monotonic clock
	 * @example
	 * const messageLog = MessageLog.create(logger);
	 * messageLog.recordIgnored({source: 'control', cause: 'undecodable', reason, sender});
	 */
	static create(logger: Logger, readNow = () => performance.now()): MessageLog {
		return new MessageLog(logger, readNow);
	}

	/** Ignored messages by source and cause. */
	readonly counts = new Map<MessageSource, Map<IgnoreCause, number>>();
	readonly #windows = new Map<MessageSource, SourceWindow>();

	private constructor(
		private readonly logger: Logger,
		private readonly readNow: () => number,
	) {}

	/** Counts a message that changed nothing, and logs it unless many were logged recently. */
	recordIgnored({source, cause, reason, sender}: IgnoredMessage): void {
		const causes = this.counts.get(source) ?? new Map<IgnoreCause, number>();
		causes.set(cause, (causes.get(cause) ?? 0) + 1);
		this.counts.set(source, causes);
		const window = this.#readWindow(source);
		if (window.lines >= maxLinesPerWindow) {
			window.dropped++;
			return;
		}

		window.lines++;
		const text = reason.slice(0, maxReasonLength);
		this.logger.warn({source, cause, reason: text, sender}, 'ignored a message');
	}

	/** Records a frame between sidecars that can't be used; its connection is closed. */
	recordInvalidFrame(reason: string, sender = ''): void {
		this.recordIgnored({source: 'link', cause: 'undecodable', reason, sender});
	}

	#readWindow(source: MessageSource): SourceWindow {
		const nowMs = this.readNow();
		const known = this.#windows.get(source);
		if (known !== undefined && nowMs - known.startedAtMs < windowMs) {
			return known;
		}

		if (known !== undefined && known.dropped > 0) {
			const {dropped} = known;
			this.logger.warn({source, dropped}, 'lines about ignored messages dropped by the rate limit');
		}

		const next: SourceWindow = {startedAtMs: nowMs, lines: 0, dropped: 0};
		this.#windows.set(source, next);
		return next;
	}
}
