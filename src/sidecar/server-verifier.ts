/** Asks the local server itself whether it bears out messages that nothing else confirms. */
import {type ServerWitness} from './guard/local-server-state.ts';
import {type ServerMessage} from './types.ts';

/** Messages that wait for one answer of the server; more than a true server sends in that time. */
const maxPending = 16;
/** The server is asked at most this often, however many messages there are. */
const minIntervalMs = 250;
/** A sidecar that has just started knows no configuration, and so no health path. */
const maxPathWaitMs = 500;
const pathPollMs = 50;

export type UnconfirmedMessage = {
	readonly message: ServerMessage;
	/** Address that the message came from. */
	readonly sender: string;
};

export type ServerVerifierOptions = {
	/** Requests a health path of the server. */
	probe(path: string): Promise<ServerWitness>;
	/** Health path of a service; undefined while no configuration names it. */
	findHealthPath(service: string): string | undefined;
	/** Called with each message once the server has been asked, or can't be. */
	settle(unconfirmed: UnconfirmedMessage, witness: ServerWitness): void;
};

type PendingMessage = UnconfirmedMessage & {
	/** Service whose health path is asked. */
	readonly service: string;
	readonly arrivedAtMs: number;
};

export class ServerVerifier {
	/**
	 * @example
	 * const verifier = ServerVerifier.create(options);
	 * verifier.submit({message, sender}, 'catalogue');
	 */
	static create(options: ServerVerifierOptions): ServerVerifier {
		return new ServerVerifier(options);
	}

	#pending: PendingMessage[] = [];
	#isProbing = false;
	#timer: NodeJS.Timeout | undefined;
	#probedAtMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly options: ServerVerifierOptions) {}

	/**
	 * Asks the server about a message that names a service.
	 *
	 * @returns false if too many messages wait already; this one is dropped
	 */
	submit(unconfirmed: UnconfirmedMessage, service: string): boolean {
		if (this.#pending.length >= maxPending) {
			return false;
		}

		this.#pending.push({...unconfirmed, service, arrivedAtMs: performance.now()});
		this.#schedule(this.#probedAtMs + minIntervalMs - performance.now());
		return true;
	}

	close(): void {
		clearTimeout(this.#timer);
		this.#pending = [];
	}

	#schedule(delayMs: number): void {
		if (this.#isProbing || this.#timer !== undefined || this.#pending.length === 0) {
			return;
		}

		if (delayMs <= 0) {
			void this.#ask();
			return;
		}

		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			void this.#ask();
		}, delayMs);
		this.#timer.unref();
	}

	/** Asks the server at the first health path that is known, and settles the messages that it answers for. */
	async #ask(): Promise<void> {
		this.#settleExpired();
		const paths = this.#pending.map(({service}) => this.options.findHealthPath(service));
		const path = paths.find(each => each !== undefined);
		if (path === undefined) {
			this.#schedule(pathPollMs);
			return;
		}

		this.#isProbing = true;
		this.#probedAtMs = performance.now();
		const witness = await this.options.probe(path);
		this.#isProbing = false;
		this.#settleWhere(({service}) => this.options.findHealthPath(service) === path, witness);
		this.#schedule(minIntervalMs);
	}

	/** Settles the messages for which no configuration has named a health path in time. */
	#settleExpired(): void {
		const expiredMs = performance.now() - maxPathWaitMs;
		this.#settleWhere(
			({service, arrivedAtMs}) =>
				arrivedAtMs <= expiredMs && this.options.findHealthPath(service) === undefined,
			{kind: 'unasked'},
		);
	}

	#settleWhere(isAsked: (pending: PendingMessage) => boolean, witness: ServerWitness): void {
		const asked = this.#pending.filter(each => isAsked(each));
		this.#pending = this.#pending.filter(each => !asked.includes(each));
		for (const {message, sender} of asked) {
			this.options.settle({message, sender}, witness);
		}
	}
}
