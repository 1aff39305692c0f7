/**
 * One HTTP request to a peer or to the backend server, with proof of whether any byte of it was sent.
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

/** How an exchange ended before its head arrived. */
export type ExchangeFailure =
	/** Proved: no byte of the request left this process. */
	| {readonly kind: 'notSent'; readonly detail: string}
	/** Sent, and no head came back. */
	| {readonly kind: 'lost'; readonly detail: string};

export type HeadResult = {readonly kind: 'head'; readonly head: ExchangeHead} | ExchangeFailure;

/** How the body of an answer ended. */
export type BodyEnd =
	{readonly kind: 'whole'} | {readonly kind: 'truncated'; readonly detail: string};

/** Receives the body of an answer. */
export type BodySink = {
	/** Returns false to stop the flow until `resume` of the exchange. */
	receiveData(chunk: Uint8Array): boolean;
	receiveEnd(end: BodyEnd): void;
};

const cancelReason = new Error('exchange cancelled');

/** Sends one request over a dispatcher and relays its answer on demand. */
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
			exchange.#settle({kind: 'notSent', detail: (error as Error).message});
		}

		return exchange;
	}

	/** Resolves with the head, or with how the exchange ended before it. */
	readonly head: Promise<HeadResult>;
	readonly #settle: (result: HeadResult) => void;

	#controller: Dispatcher.DispatchController | undefined;
	#sink: BodySink | undefined;
	#end: BodyEnd | undefined;
	#sent = false;
	#cancelled = false;

	private constructor() {
		let settle: ((result: HeadResult) => void) | undefined;
		this.head = new Promise(resolve => {
			settle = resolve;
		});
		this.#settle = result => {
			settle?.(result);
		};
	}

	/** True once a byte of the request may have left this process. */
	get sent(): boolean {
		return this.#sent;
	}

	/** Passes the body to a sink; called once, after the head. */
	relayTo(sink: BodySink): void {
		this.#sink = sink;
		if (this.#end !== undefined) {
			sink.receiveEnd(this.#end);
			return;
		}

		this.#controller?.resume();
	}

	/** Continues the flow after a sink has asked to stop it. */
	resume(): void {
		this.#controller?.resume();
	}

	/** Ends the exchange and closes its connection. */
	cancel(): void {
		if (this.#cancelled || this.#end?.kind === 'whole') {
			return;
		}

		this.#cancelled = true;
		if (this.#controller === undefined) {
			this.#settle({kind: 'notSent', detail: 'cancelled before sending'});
			return;
		}

		this.#controller.abort(cancelReason);
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#cancelled) {
			controller.abort(cancelReason);
			return;
		}

		this.#sent = true;
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
		this.#settle({kind: 'head', head: {status, headers}});
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
		this.#settle({kind: this.#sent ? 'lost' : 'notSent', detail: error.message});
		this.#finish({kind: 'truncated', detail: error.message});
	}

	/** Ends the body once. */
	#finish(end: BodyEnd): void {
		if (this.#end !== undefined) {
			return;
		}

		this.#end = end;
		this.#sink?.receiveEnd(end);
	}
}
