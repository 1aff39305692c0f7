/**
 * One attempt: a request sent to one guard, over a link or within this process.
 *
 * A link that is lost or silent is replaced: the entry resumes the request over a new connection, and the
 * guard answers there or reports that the request was never run.
 */
import {type MemberView} from '../discovery/member-view.ts';
import {type Guard} from '../guard/guard.ts';
import {maxDurationMs} from '../../decoding/value-checks.ts';
import {type Exchange} from '../link/exchange.ts';
import {type LinkExchange, type LinkListener} from '../link/link.ts';
import {
	type AnswerHead,
	type CallHead,
	type FailureHead,
	type RefusalHead,
	type ReplyMetadata,
} from '../link/messages.ts';

/** Delay before the next resume after a connection to the guard could not be established. */
const resumeDelayMs = 150;
/** Resumes before the attempt fails; with delays and connect timeouts about two seconds in all. */
const maxResumes = 4;
/** Minimum silence after which the link is replaced: the request may still be queued, or the link may be dead. */
const minSilenceMs = 900;
/** Silence is unusual after this multiple of the route's slot time or the member's latency. */
const silenceFactor = 4;

/** Events of an attempt. A whole answer, the end of a longer one, a refusal or a failure is the last. */
export type AttemptListener = {
	handleMetadata(metadata: ReplyMetadata): void;
	handleAnswer(head: AnswerHead, body: Uint8Array): void;
	handleData(chunk: Uint8Array): void;
	handleEnd(): void;
	/** `wasReached` is false when no connection to the peer could be established. */
	handleRefusal(head: RefusalHead, wasReached: boolean): void;
	/** The request may have run. */
	handleFailure(head: FailureHead, wasReached: boolean): void;
	handleDrain(): void;
};

export class Attempt {
	/**
	 * @example
	 * const attempt = Attempt.create(view, head, listener);
	 * attempt.start(guard, body, slotTimeMs);
	 */
	static create(view: MemberView, head: CallHead, listener: AttemptListener): Attempt {
		return new Attempt(view, head, listener);
	}

	readonly startedAtMs = performance.now();
	#exchange: Exchange | undefined;
	/** Links used by the exchange; the current one is the last. */
	readonly #links: Array<{readonly link: LinkExchange; readonly listener: LinkListener}> = [];
	#isEnded = false;
	#hasAnswerBegun = false;
	#resumeCount = 0;
	/** Incremented when a listener is replaced; events of older listeners are ignored. */
	#generation = 0;
	#timer: NodeJS.Timeout | undefined;

	private constructor(
		readonly view: MemberView,
		private readonly head: CallHead,
		private readonly listener: AttemptListener,
	) {}

	/**
	 * Sends the request; the listener's last event may come before this returns.
	 *
	 * @param slotTimeMs - mean slot time of such requests at the server; 0 when it is unknown
	 */
	start(guard: Guard, body: Uint8Array, slotTimeMs: number): void {
		this.view.recordSend();
		const {transport} = this.view;
		switch (transport.kind) {
			case 'local': {
				this.#exchange = guard.submit(this.head, body, this.#createListener());
				break;
			}

			case 'link': {
				const listener = this.#createListener();
				this.#addLink(transport.pool.open(this.head, body, listener), listener);
				this.#startSilenceTimer(slotTimeMs);
				break;
			}
		}
	}

	/** Ends the attempt and notifies the guard that the answer is no longer needed. */
	cancel(): void {
		if (this.#end()) {
			this.#exchange?.cancel();
		}
	}

	/** Asks the guard to give the request up; its refusal or failure tells whether the request may have run. */
	withdraw(): void {
		if (!this.#isEnded && !this.#hasAnswerBegun) {
			this.#exchange?.cancel();
		}
	}

	/** Sends a part of the body; nothing after the end, when the link may carry another request. */
	sendBody(chunk: Uint8Array): boolean {
		return this.#isEnded || (this.#exchange?.sendBody(chunk) ?? true);
	}

	endBody(): void {
		if (!this.#isEnded) {
			this.#exchange?.endBody();
		}
	}

	setPaused(isPaused: boolean): void {
		this.#exchange?.setPaused(isPaused);
	}

	/** Ends the attempt; false when it had ended before. */
	#end(): boolean {
		if (this.#isEnded) {
			return false;
		}

		this.#isEnded = true;
		clearTimeout(this.#timer);
		this.view.recordEnd();
		// A replaced link may still be open, and nothing more is expected over it.
		for (const {link, listener} of this.#links.slice(0, -1)) {
			link.abandon(listener);
		}

		return true;
	}

	#addLink(link: LinkExchange, listener: LinkListener): void {
		this.#exchange = link;
		this.#links.push({link, listener});
	}

	#createListener(): LinkListener {
		const generation = this.#generation;
		const isCurrent = () => !this.#isEnded && generation === this.#generation;
		return {
			handleMetadata: metadata => {
				this.listener.handleMetadata(metadata);
			},
			handleAnswer: (head, body) => {
				if (isCurrent()) {
					this.#handleAnswer(head, body);
				}
			},
			handleData: chunk => {
				if (isCurrent()) {
					this.listener.handleData(chunk);
				}
			},
			handleEnd: () => {
				if (isCurrent() && this.#end()) {
					this.listener.handleEnd();
				}
			},
			handleRefusal: head => {
				if (isCurrent() && this.#end()) {
					this.listener.handleRefusal(head, true);
				}
			},
			handleFailure: head => {
				if (isCurrent() && this.#end()) {
					this.listener.handleFailure(head, true);
				}
			},
			handleUnreachable: () => {
				if (isCurrent()) {
					this.#handleUnreachable();
				}
			},
			handleLost: () => {
				if (isCurrent()) {
					this.#resume();
				}
			},
			handleDrain: () => {
				this.listener.handleDrain();
			},
		};
	}

	#handleAnswer(head: AnswerHead, body: Uint8Array): void {
		this.#hasAnswerBegun = true;
		clearTimeout(this.#timer);
		if (head.isLeaving) {
			this.view.recordServerLeaving(performance.now());
		}

		if (head.isWhole && !this.#end()) {
			return;
		}

		this.listener.handleAnswer(head, body);
	}

	/** No connection could be established: before the first resume nothing was sent. */
	#handleUnreachable(): void {
		if (this.#resumeCount === 0) {
			if (this.#end()) {
				this.listener.handleRefusal({reason: 'unreachable', member: undefined}, false);
			}

			return;
		}

		this.#timer = setTimeout(() => {
			this.#resume();
		}, resumeDelayMs);
	}

	/** Asks the guard for the result of the request over a new connection. */
	#resume(): void {
		const {transport} = this.view;
		if (this.#isEnded || transport.kind === 'local') {
			return;
		}

		const canResume = !this.#hasAnswerBegun && this.head.isWhole;
		if (!canResume || this.#resumeCount >= maxResumes) {
			if (this.#end()) {
				this.listener.handleFailure({reason: 'the link was lost'}, !canResume);
			}

			return;
		}

		this.#resumeCount++;
		this.#generation++;
		// The incarnation that received the request, which is the one at the first link.
		const incarnation = this.#links[0]!.link.incarnation ?? '';
		const {nonce, route, callerService} = this.head;
		const head = {nonce, route, callerService, incarnation};
		const listener = this.#createListener();
		this.#addLink(transport.pool.resume(head, listener), listener);
	}

	/** Replaces the link when no answer has begun after an unusually long time. */
	#startSilenceTimer(slotTimeMs: number): void {
		const expectedLatencyMs = Math.max(slotTimeMs, this.view.latencyMs);
		const silenceMs = Math.min(
			maxDurationMs,
			Math.max(minSilenceMs, expectedLatencyMs * silenceFactor),
		);
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			const {transport} = this.view;
			if (!this.#hasAnswerBegun && transport.kind === 'link') {
				transport.pool.closeIdleBefore(this.startedAtMs);
				this.#resume();
			}
		}, silenceMs);
	}
}
