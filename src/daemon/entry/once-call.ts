/**
 * A once call at the entry: checks its idempotency key, runs it under a claim or a minted key, and answers repeats.
 */
import {headerNames} from '../../call/headers.ts';
import {type Outcome} from '../../call/types.ts';
import {computeFingerprint} from '../../once/fingerprint.ts';
import {mintedKeyPrefix, verifyMintedKey, type MintedKey} from '../../once/minted-key.ts';
import {type SendOutcome} from '../../once/types.ts';
import {sendProblem} from '../http/problem.ts';
import {answerUnexecutedCall} from '../once/once-answers.ts';
import {type EntryOnceCalls} from '../once/entry-once-calls.ts';
import {type EntryCallInput} from './entry-call-input.ts';
import {EntryCall} from './entry-call.ts';
import {type EntryTask} from './entry-task.ts';

/** Request header with the caller's idempotency key. */
export const idempotencyKeyHeader = 'idempotency-key';

const keyPattern = /^[\u0021-\u007E]{1,200}$/v;

/** Runs one once call, whose body must have been read whole. */
export class OnceCall {
	/**
	 * @example
	 * const outcome = await OnceCall.create(entry, once, input).run();
	 */
	static create(entry: EntryTask, once: EntryOnceCalls, input: EntryCallInput): OnceCall {
		return new OnceCall(entry, once, input);
	}

	readonly #entry: EntryTask;
	readonly #once: EntryOnceCalls;
	readonly #input: EntryCallInput;

	private constructor(entry: EntryTask, once: EntryOnceCalls, input: EntryCallInput) {
		this.#entry = entry;
		this.#once = once;
		this.#input = input;
	}

	async run(): Promise<Outcome> {
		const key = this.#input.request.headers[idempotencyKeyHeader];
		if (typeof key !== 'string' || !keyPattern.test(key)) {
			return this.#refuseKey(
				`a once call needs the header "${idempotencyKeyHeader}" with 1 to 200 visible ASCII characters`,
			);
		}

		const {service, caller} = this.#input.call.context;
		if (!key.startsWith(mintedKeyPrefix)) {
			return this.#runClaimed(key);
		}

		const minted = verifyMintedKey(key, service, caller, this.#once.secret);
		return minted === undefined
			? this.#refuseKey(
					`keys that begin with "${mintedKeyPrefix}" are minted by daemons; this one was not minted for caller "${caller}" and service "${service}"`,
				)
			: this.#runMinted(key, minted);
	}

	/** Runs a call under a claim, or answers a repeat of it. */
	async #runClaimed(key: string): Promise<Outcome> {
		const {call, response} = this.#input;
		const {service, caller, requestId} = call.context;
		const fingerprint = this.#computeFingerprint();
		let outcome: Outcome | undefined;
		const result = await this.#once.executor.run(
			{service, caller, key, fingerprint},
			async (nonce): Promise<SendOutcome> => {
				const collector = this.#once.createCollector();
				const once = {claimReference: {key, nonce, fingerprint}, collector};
				outcome = await EntryCall.create(this.#entry, {...this.#input, once}).run();
				const record = collector.finish();
				switch (outcome.kind) {
					case 'answered': {
						return {kind: 'answered', record};
					}

					case 'notRun': {
						return outcome;
					}

					case 'unknown':
					case 'failed': {
						return {kind: 'unknown', reason: outcome.reason};
					}
				}
			},
		);
		if (outcome !== undefined || result.kind === 'ran') {
			return outcome ?? {kind: 'unknown', reason: 'internal-error'};
		}

		return answerUnexecutedCall(response, result, requestId, this.#createHeaders());
	}

	/** Runs a call with a minted key on the only instance that the key allows. */
	async #runMinted(key: string, minted: MintedKey): Promise<Outcome> {
		const {instanceId, nonce} = minted;
		const claimReference = {key, nonce, fingerprint: this.#computeFingerprint()};
		const once = {claimReference, onlyInstanceId: instanceId};
		return EntryCall.create(this.#entry, {...this.#input, once}).run();
	}

	#computeFingerprint(): string {
		const {request, call, body} = this.#input;
		const bytes = body.kind === 'whole' ? body.bytes : new Uint8Array();
		return computeFingerprint(request.method ?? 'GET', call.path, bytes);
	}

	#createHeaders() {
		const {requestId, policyVersion} = this.#input.call.context;
		return {[headerNames.request]: requestId, [headerNames.version]: String(policyVersion)};
	}

	#refuseKey(detail: string): Outcome {
		const outcome = {kind: 'notRun', reason: 'bad-request'} as const;
		const {requestId} = this.#input.call.context;
		sendProblem(
			this.#input.response,
			{status: 400, title: 'Bad Request', detail, outcome, requestId},
			this.#createHeaders(),
		);
		return outcome;
	}
}
