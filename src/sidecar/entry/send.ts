/**
 * One send of a request to one guard, whether over a link or within this process.
 *
 * A link that is lost or silent is replaced: the guard is asked over a new connection, and tells the
 * answer there, or that the request was never run.
 */
import {type MemberView} from '../knowledge/member-view.ts';
import {type Guard} from '../guard/guard.ts';
import {type Exchange} from '../link/exchange.ts';
import {type LinkExchange, type LinkListener} from '../link/link.ts';
import {
	type AnswerHead,
	type CallHead,
	type FailureHead,
	type RefusalHead,
	type ReplyNews,
} from '../link/messages.ts';

/** Pause before a guard is asked again after its link could not be replaced. */
const resumeDelayMs = 150;
/** Then it is taken as gone: with pauses and time-outs of the connections some two seconds. */
const maxResumes = 4;
/** A guard that is silent for this long may be waiting, or its link may be dead: ask. */
const minSilenceMs = 900;
/** Times the usual time of the route, or latency of the member, after which silence is unusual. */
const silenceFactor = 4;

/** What a send tells the call that it belongs to; one of the last four ends it. */
export type SendListener = {
	handleNews(news: ReplyNews): void;
	handleAnswer(head: AnswerHead, body: Uint8Array): void;
	handleData(chunk: Uint8Array): void;
	handleEnd(): void;
	/** `wasReached` is false when no connection to the peer came about. */
	handleRefusal(head: RefusalHead, wasReached: boolean): void;
	/** The request may have run. */
	handleFailure(head: FailureHead, wasReached: boolean): void;
	handleDrain(): void;
};

export class Send {
	/**
	 * @example
	 * const send = Send.create(view, head, listener);
	 * send.start(guard, body);
	 */
	static create(view: MemberView, head: CallHead, listener: SendListener): Send {
		return new Send(view, head, listener);
	}

	readonly startedAtMs = performance.now();
	#exchange: Exchange | undefined;
	/** The links of the exchange, the present one last. */
	readonly #links: Array<{readonly link: LinkExchange; readonly listener: LinkListener}> = [];
	#isEnded = false;
	#hasAnswerBegun = false;
	#resumeCount = 0;
	/** Grows when a listener is replaced; what older ones hear is ignored. */
	#generation = 0;
	#timer: NodeJS.Timeout | undefined;

	private constructor(
		readonly view: MemberView,
		private readonly head: CallHead,
		private readonly listener: SendListener,
	) {}

	/**
	 * Sends the request; the listener may hear the end before this returns.
	 *
	 * @param usualMs - usual time of such requests at the server, 0 when it is not known
	 */
	start(guard: Guard, body: Uint8Array, usualMs: number): void {
		this.view.recordSend();
		const {way} = this.view;
		switch (way.kind) {
			case 'local': {
				this.#exchange = guard.accept(this.head, body, this.#createListener());
				break;
			}

			case 'link': {
				const listener = this.#createListener();
				this.#addLink(way.pool.open(this.head, body, listener), listener);
				this.#startSilenceTimer(usualMs);
				break;
			}
		}
	}

	/** Nobody waits for the answer any more. */
	cancel(): void {
		if (this.#end()) {
			this.#exchange?.cancel();
		}
	}

	sendBody(chunk: Uint8Array): boolean {
		return this.#exchange?.sendBody(chunk) ?? true;
	}

	endBody(): void {
		this.#exchange?.endBody();
	}

	setPaused(isPaused: boolean): void {
		this.#exchange?.setPaused(isPaused);
	}

	/** Ends the send once; false when it has ended before. */
	#end(): boolean {
		if (this.#isEnded) {
			return false;
		}

		this.#isEnded = true;
		clearTimeout(this.#timer);
		this.view.recordEnd();
		// A replaced link may still be open; nothing comes over it any more.
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
			handleNews: news => {
				this.listener.handleNews(news);
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
		if (head.isWhole && !this.#end()) {
			return;
		}

		this.listener.handleAnswer(head, body);
	}

	/** No connection came about: on the first send nothing has left this process. */
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

	/** Asks the guard over a new connection what became of the request. */
	#resume(): void {
		const {way} = this.view;
		if (this.#isEnded || way.kind === 'local') {
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
		// The guard that the request went to, which is the one at the end of the first link.
		const incarnation = this.#links[0]!.link.incarnation ?? '';
		const {nonce, route, callerService} = this.head;
		const question = {nonce, route, callerService, incarnation};
		const listener = this.#createListener();
		this.#addLink(way.pool.resume(question, listener), listener);
	}

	/** Replaces a link on which nothing comes for unusually long. */
	#startSilenceTimer(usualMs: number): void {
		const expectedMs = Math.max(usualMs, this.view.latencyMs);
		const silenceMs = Math.max(minSilenceMs, expectedMs * silenceFactor);
		clearTimeout(this.#timer);
		this.#timer = setTimeout(() => {
			const {way} = this.view;
			if (!this.#hasAnswerBegun && way.kind === 'link') {
				way.pool.closeIdleBefore(this.startedAtMs);
				this.#resume();
			}
		}, silenceMs);
	}
}
