/**
 * One HTTP request to a peer or to the backend server. It tracks whether any byte of the request
 * may have been sent, which decides whether a failed call may have run.
 */
import {type IncomingHttpHeaders, type OutgoingHttpHeaders} from 'node:http';
import {type Readable} from 'node:stream';
import {type Dispatcher} from '../../http/pool.ts';

export type ExchangeRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: OutgoingHttpHeaders;
	readonly body: Uint8Array | Readable | undefined;
};

export type ExchangeHead = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
};

/** How an exchange failed before the head of its answer arrived. */
export type ExchangeFailure =
	/** It is certain that no byte of the request left this process. */
	| {readonly kind: 'notSent'; readonly detail: string}
	/** The request may have been sent, and no head arrived. */
	| {readonly kind: 'lost'; readonly detail: string};

export type HeadResult = {readonly kind: 'head'; readonly head: ExchangeHead} | ExchangeFailure;

/** How the body of an answer ended. */
export type BodyEnd =
	{readonly kind: 'whole'} | {readonly kind: 'truncated'; readonly detail: string};

/** Receives the body of an answer. */
export type BodySink = {
	/** Returns false to pause the body until `resume` of the exchange is called. */
	receiveData(chunk: Uint8Array): boolean;
	receiveEnd(end: BodyEnd): void;
};

const cancelReason = new Error('exchange cancelled');

/** Sends one request over a dispatcher. The body of the answer is paused until `relayTo`. */
export class Exchange implements Dispatcher.DispatchHandler {
	/**
	 * Starts a request.
	 *
	 * @example
	 * const exchange = Exchange.start(pool, {method: 'GET', path: '/', headers: {}, body: undefined});
	 * const result = await exchange.head;
	 */
	static start(dispatcher: Dispatcher, request: ExchangeRequest): Exchange {
		const exchange = new Exchange();
		try {
			dispatcher.dispatch(
				{
					method: request.method,
					path: request.path,
					headers: request.headers as Record<string, string>,
					body: request.body ?? null,
					headersTimeout: 0,
					bodyTimeout: 0,
				},
				exchange,
			);
		} catch (error) {
			exchange.#resolveHead({kind: 'notSent', detail: (error as Error).message});
		}

		return exchange;
	}

	/** Resolves with the head of the answer, or with the failure that came before it. */
	readonly head: Promise<HeadResult>;
	readonly #resolveHead: (result: HeadResult) => void;

	#controller: Dispatcher.DispatchController | undefined;
	#sink: BodySink | undefined;
	#end: BodyEnd | undefined;
	#mayHaveSent = false;
	#isCancelled = false;

	private constructor() {
		let resolveHead: ((result: HeadResult) => void) | undefined;
		this.head = new Promise(resolve => {
			resolveHead = resolve;
		});
		this.#resolveHead = result => {
			resolveHead?.(result);
		};
	}

	/** Whether a byte of the request may have left this process. */
	get mayHaveSent(): boolean {
		return this.#mayHaveSent;
	}

	/** Passes the body to a sink. Must be called at most once, after the head has arrived. */
	relayTo(sink: BodySink): void {
		this.#sink = sink;
		if (this.#end !== undefined) {
			sink.receiveEnd(this.#end);
			return;
		}

		this.#controller?.resume();
	}

	/** Resumes the body after the sink has paused it. */
	resume(): void {
		this.#controller?.resume();
	}

	/** Cancels the exchange and closes its connection; no effect once the answer is whole. */
	cancel(): void {
		if (this.#isCancelled || this.#end?.kind === 'whole') {
			return;
		}

		this.#isCancelled = true;
		if (this.#controller === undefined) {
			this.#resolveHead({kind: 'notSent', detail: 'cancelled before sending'});
			return;
		}

		this.#controller.abort(cancelReason);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#isCancelled) {
			controller.abort(cancelReason);
			return;
		}

		this.#mayHaveSent = true;
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
		headers: IncomingHttpHeaders,
	): void {
		if (status < 200) {
			return;
		}

		controller.pause();
		this.#resolveHead({kind: 'head', head: {status, headers}});
	}

	onResponseData(controller: Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.#sink?.receiveData(chunk) === false) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		this.#finish({kind: 'whole'});
	}

	onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
		this.#resolveHead({kind: this.#mayHaveSent ? 'lost' : 'notSent', detail: error.message});
		this.#finish({kind: 'truncated', detail: error.message});
	}

	/** Records the end of the body and reports it to the sink; later calls have no effect. */
	#finish(end: BodyEnd): void {
		if (this.#end !== undefined) {
			return;
		}

		this.#end = end;
		this.#sink?.receiveEnd(end);
	}
}
