/** Test fixture: a link whose messages a test delivers, cuts off or loses. */
import {Buffer} from 'node:buffer';
import {type Exchange, type ExchangeListener} from '../link/exchange.ts';
import {type LinkExchange, type LinkListener} from '../link/link-exchange.ts';
import {type CallHead, type ResumeHead} from '../link/messages.ts';
import {testIncarnation} from './fixtures.ts';
import {type Guard} from './guard.ts';

/** A simulated link with undelivered messages in both directions. */
export class SimulatedLink implements LinkExchange {
	/**
	 * @example
	 * const link = SimulatedLink.create(guard, head.nonce, listener).open(head);
	 */
	static create(guard: Guard, nonce: string, entryListener: LinkListener): SimulatedLink {
		return new SimulatedLink(guard, nonce, entryListener);
	}

	readonly toGuard: Array<() => void> = [];
	readonly toEntry: Array<() => void> = [];
	isCut = false;
	#exchange: Exchange | undefined;
	readonly #guardListener: ExchangeListener;

	private constructor(
		private readonly guard: Guard,
		private readonly nonce: string,
		private readonly entryListener: LinkListener,
	) {
		const sendBack = (deliver: () => void) => {
			this.toEntry.push(deliver);
		};

		this.#guardListener = {
			handleAnswer(head, body) {
				sendBack(() => {
					entryListener.handleAnswer(head, body);
				});
			},
			handleTaken() {
				// Bodies are whole here.
			},
			handleData() {
				// Answers are whole here.
			},
			handleEnd() {
				// Answers are whole here.
			},
			handleRefusal(head) {
				sendBack(() => {
					entryListener.handleRefusal(head);
				});
			},
			handleFailure(head) {
				sendBack(() => {
					entryListener.handleFailure(head);
				});
			},
		};
	}

	get incarnation(): string {
		return testIncarnation;
	}

	get reportsTaken(): boolean {
		return true;
	}

	open(head: CallHead): this {
		this.toGuard.push(() => {
			this.#exchange = this.guard.submit(head, Buffer.alloc(0), this.#guardListener);
		});
		return this;
	}

	resume(head: ResumeHead): this {
		this.toGuard.push(() => {
			this.#exchange = this.guard.resume(head.nonce, head.incarnation, this.#guardListener);
		});
		return this;
	}

	ping(): void {
		// Requests are whole here.
	}

	cancel(): void {
		this.toGuard.push(() => {
			this.#exchange?.cancel();
		});
	}

	sendBody(): void {
		// Requests are whole here.
	}

	endBody(): void {
		// Bodies are whole here.
	}

	setPaused(): void {
		// Answers are whole here.
	}

	/** Ends a link that the entry has replaced; the guard is notified later. */
	abandon(): void {
		this.isCut = true;
		this.toEntry.length = 0;
		this.toGuard.push(() => {
			this.guard.handleLinkLost(this.nonce, this.#guardListener);
		});
	}

	/** Cuts the link. The entry is notified at once, the guard after the messages not lost in transit. */
	cut(isRequestLost: boolean): void {
		this.isCut = true;
		this.toEntry.length = 0;
		if (isRequestLost) {
			this.toGuard.length = 0;
		}

		this.toGuard.push(() => {
			this.guard.handleLinkLost(this.nonce, this.#guardListener);
		});
		this.entryListener.handleLost();
	}
}
