/**
 * One attempt: a request sent to one guard, over a link or within this process.
 *
 * A link that is lost or silent is replaced: the entry resumes the request over a new connection, and the
 * guard answers there or reports that the request was never run.
 */
import {type MemberView} from '../discovery/member-view.ts';
import {type Guard} from '../guard/guard.ts';
import {type Exchange} from '../link/exchange.ts';
import {type LinkExchange, type LinkListener} from '../link/link-exchange.ts';
import {
	type AnswerHead,
	type CallHead,
	type FailureHead,
	type RefusalHead,
	type ReplyMetadata,
} from '../link/messages.ts';
import {SendWindow} from './send-window.ts';
import {SilenceTimer} from './silence-timer.ts';

/** Delay before the next resume after a connection to the guard could not be established. */
const resumeDelayMs = 150;
/** Resumes before the attempt fails; with delays and connect timeouts about two seconds in all. */
const maxResumes = 4;

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
	/** More of the body may be sent. */
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
	readonly #window = SendWindow.create();
	/** Whether the rest of the body may still be sent: not over a link by which the request was resumed. */
	#isBodyOpen: boolean;
	#resumeTimer: NodeJS.Timeout | undefined;
	readonly #silence = SilenceTimer.create(() => {
		this.#handleSilent();
	});

	private constructor(
		readonly view: MemberView,
		private readonly head: CallHead,
		private readonly listener: AttemptListener,
	) {
		this.#isBodyOpen = !head.isWhole;
	}

	/** Whether the rest of the body may be sent now: the server has taken enough of what was sent before. */
	get isReadyForBody(): boolean {
		return this.#window.isOpen || this.#readLink()?.reportsTaken === false;
	}

	/**
	 * Sends the request; the listener's last event may come before this returns.
	 *
	 * @param slotTimeMs - mean slot time of such requests at the server; 0 when it is unknown
	 */
	start(guard: Guard, body: Uint8Array, slotTimeMs: number): void {
		this.view.recordSend();
		this.#window.recordSent(body.length);
		const {transport} = this.view;
		switch (transport.kind) {
			case 'local': {
				this.#exchange = guard.submit(this.head, body, this.#createListener());
				break;
			}

			case 'link': {
				const listener = this.#createListener();
				this.#addLink(transport.pool.open(this.head, body, listener), listener);
				if (this.head.isWhole) {
					this.#silence.startForAnswer(Math.max(slotTimeMs, this.view.latencyMs));
				} else {
					this.#silence.startPings(() => this.#ping());
				}

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

	/**
	 * Sends a part of the body; nothing after the end, when the link may carry another request.
	 *
	 * @returns false when the sender should pause until `handleDrain`
	 */
	sendBody(chunk: Uint8Array): boolean {
		if (this.#isEnded || !this.#isBodyOpen) {
			return true;
		}

		this.#exchange?.sendBody(chunk);
		this.#window.recordSent(chunk.length);
		return this.isReadyForBody;
	}

	endBody(): void {
		if (!this.#isEnded && this.#isBodyOpen) {
			this.#isBodyOpen = false;
			this.#exchange?.endBody();
		}
	}

	/** Pauses or resumes receiving the answer; not after its end, when the link may carry another one. */
	setPaused(isPaused: boolean): void {
		if (!this.#isEnded) {
			this.#exchange?.setPaused(isPaused);
		}
	}

	/** Ends the attempt; false when it had ended before. */
	#end(): boolean {
		if (this.#isEnded) {
			return false;
		}

		this.#isEnded = true;
		this.#silence.stop();
		clearTimeout(this.#resumeTimer);
		this.view.recordEnd();
		// A replaced link may still be open, and nothing more is expected over it.
		for (const {link, listener} of this.#links.slice(0, -1)) {
			link.abandon(listener);
		}

		return true;
	}

	#readLink(): LinkExchange | undefined {
		return this.#links.at(-1)?.link;
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
			handleTaken: totalBytes => {
				this.#silence.recordSign();
				if (isCurrent() && this.#window.recordTaken(totalBytes)) {
					this.listener.handleDrain();
				}
			},
		};
	}

	#handleAnswer(head: AnswerHead, body: Uint8Array): void {
		this.#hasAnswerBegun = true;
		this.#silence.stop();
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

		this.#resumeTimer = setTimeout(() => {
			this.#resume();
		}, resumeDelayMs);
	}

	/** Asks the guard for the result of the request over a new connection. */
	#resume(): void {
		const {transport} = this.view;
		if (this.#isEnded || transport.kind === 'local') {
			return;
		}

		const canResume = !this.#hasAnswerBegun;
		if (!canResume || this.#resumeCount >= maxResumes) {
			if (this.#end()) {
				this.listener.handleFailure({reason: 'the link was lost'}, !canResume);
			}

			return;
		}

		this.#isBodyOpen = false;
		this.#resumeCount++;
		this.#generation++;
		// The incarnation that received the request, which is the one at the first link.
		const incarnation = this.#links[0]!.link.incarnation ?? '';
		const {nonce, route, callerService} = this.head;
		const head = {nonce, route, callerService, incarnation};
		const listener = this.#createListener();
		this.#addLink(transport.pool.resume(head, listener), listener);
	}

	/** Replaces the link, which has been silent for an unusually long time. */
	#handleSilent(): void {
		const {transport} = this.view;
		if (!this.#hasAnswerBegun && transport.kind === 'link') {
			transport.pool.closeIdleBefore(this.startedAtMs);
			this.#resume();
		}
	}

	#ping(): boolean {
		const link = this.#readLink();
		link?.ping();
		return link !== undefined && link.reportsTaken !== false;
	}
}
