/**
 * Passes a body that is too long to be buffered from the caller to the guard, as fast as the server takes it.
 *
 * Only the beginning of the body is kept. Once more of it was passed on, the request can't be sent to another server.
 */
import type http from 'node:http';
import {type CallerLimits} from '../types.ts';
import {type Attempt} from './attempt.ts';
import {type CallerRequest, formatBodyTooLong} from './caller-request.ts';

type StreamTarget = Pick<Attempt, 'sendBody' | 'endBody' | 'isReadyForBody'>;

/** Nothing is passed on before the first attempt, and after the end of the request. */
type StreamState =
	| {readonly kind: 'waiting'}
	| {readonly kind: 'passing'; readonly target: StreamTarget}
	| {readonly kind: 'ended'};

export class BodyStream {
	/**
	 * @param handleTooLong - called when the body exceeds the limit; nothing more of it is passed on
	 * @example
	 * const stream = BodyStream.create(caller, limits, reason => reply.answer(413, reason));
	 * stream.attach(attempt);
	 */
	static create(
		caller: Pick<CallerRequest, 'body'> & {
			readonly request: Pick<http.IncomingMessage, 'on' | 'pause' | 'resume'>;
		},
		limits: CallerLimits,
		handleTooLong: (reason: string) => void,
	): BodyStream {
		return new BodyStream(caller, limits, handleTooLong);
	}

	#state: StreamState = {kind: 'waiting'};
	#bytes: number;
	#hasPassedOn = false;

	private constructor(
		private readonly caller: Pick<CallerRequest, 'body'> & {
			readonly request: Pick<http.IncomingMessage, 'on' | 'pause' | 'resume'>;
		},
		private readonly limits: CallerLimits,
		private readonly handleTooLong: (reason: string) => void,
	) {
		this.#bytes = caller.body.length;
	}

	/** Whether more than the beginning, which is kept, was passed on: another server would miss that part. */
	get hasPassedOn(): boolean {
		return this.#hasPassedOn;
	}

	/** Passes the rest of the body to an attempt, in place of an earlier one. */
	attach(target: StreamTarget): void {
		const isFirst = this.#state.kind === 'waiting';
		if (this.#state.kind === 'ended') {
			return;
		}

		this.#state = {kind: 'passing', target};
		if (isFirst) {
			this.caller.request.on('data', (chunk: Uint8Array) => {
				this.#handleData(chunk);
			});
			this.caller.request.on('end', () => {
				this.#handleEnd();
			});
		}

		if (target.isReadyForBody) {
			this.caller.request.resume();
		}
	}

	/** Passes nothing more on. The rest is read and dropped, so that the connection can carry another request. */
	end(): void {
		this.#state = {kind: 'ended'};
		this.caller.request.resume();
	}

	#handleData(chunk: Uint8Array): void {
		if (this.#state.kind !== 'passing') {
			return;
		}

		this.#bytes += chunk.length;
		if (this.#bytes > this.limits.maxBodyBytes) {
			this.end();
			this.handleTooLong(formatBodyTooLong(this.limits));
			return;
		}

		this.#hasPassedOn = true;
		if (!this.#state.target.sendBody(chunk)) {
			this.caller.request.pause();
		}
	}

	#handleEnd(): void {
		if (this.#state.kind === 'passing') {
			this.#hasPassedOn = true;
			this.#state.target.endBody();
		}
	}
}
