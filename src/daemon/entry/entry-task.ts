/**
 * The entry: accepts calls from callers and from the local backend server and sends them to guards.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {headerNames} from '../../call/headers.ts';
import {type Outcome} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {type KillVerdict} from '../../once/types.ts';
import {PolicyMatcher} from '../../policy/match.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {type Logger} from '../../reporting/logger.ts';
import {type Metrics} from '../../reporting/metrics.ts';
import {type RouteChoice, type Router} from '../../routing/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {type RunningCalls} from '../guard/running-calls.ts';
import {Listener, type ListenerOptions} from '../http/listener.ts';
import {sendProblem} from '../http/problem.ts';
import {readWholeBody, readRequestBody} from '../http/request-body.ts';
import {type EntryOnceCalls} from '../once/entry-once-calls.ts';
import {type RequestBodyError} from '../errors.ts';
import {type Identity} from '../identity.ts';
import {type Task, type TaskMessage} from '../messages.ts';
import {CallCounter} from './call-counter.ts';
import {type CallOrigin, findCaller} from './call-origin.ts';
import {type CallRefusal, createBodyRefusal, refusals} from './call-refusals.ts';
import {classifyCall, type ClassifiedCall} from './classify-call.ts';
import {type EntryCallInput} from './entry-call-input.ts';
import {EntryCall} from './entry-call.ts';
import {OverloadTracker} from './overload-tracker.ts';
import {keysPath, mintKey} from './mint-key.ts';
import {OnceCall} from './once-call.ts';
import {PeerPools} from './peer-pools.ts';

export type EntryOptions = {
	readonly identity: Identity;
	readonly peerKey: string;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly router: Router;
	/** Calls that run on the local backend server; a child call names its parent call by the parent's token. */
	readonly running: RunningCalls;
	/** Counts a call under the policy version that classified it. */
	readonly countCallForPolicyVersion?: (version: number) => void;
};

const poolPruneIntervalMs = 10_000;

/** Owns the listeners of the caller port and the local port, the router and the connections to peers. */
export class EntryTask implements Task {
	/**
	 * @example
	 * const entry = EntryTask.create(options, policy);
	 */
	static create(options: EntryOptions, policy: PolicyVersion): EntryTask {
		return new EntryTask(options, policy);
	}

	readonly router: Router;
	readonly overloadTracker: OverloadTracker;
	readonly pools = PeerPools.create();
	readonly metrics: Metrics;
	readonly peerKey: string;
	readonly #options: EntryOptions;
	#matcher: PolicyMatcher;
	readonly #counter: CallCounter;
	#policyVersion: number;
	#callerListener: Listener | undefined;
	#localListener: Listener | undefined;
	#once: EntryOnceCalls | undefined;
	#inFlight = 0;
	#isRefusingCallers = false;

	private constructor(options: EntryOptions, policy: PolicyVersion) {
		this.#options = options;
		this.router = options.router;
		this.metrics = options.metrics;
		this.peerKey = options.peerKey;
		this.#matcher = PolicyMatcher.create(policy.document);
		this.overloadTracker = OverloadTracker.create(policy.document);
		this.#counter = CallCounter.create(options, policy.document);
		this.#policyVersion = policy.version;
		this.router.applyPolicy(policy.document);
		setInterval(() => {
			this.pools.prune(readMonotonicMs());
		}, poolPruneIntervalMs).unref();
	}

	/** Number of calls that have not ended. */
	get inFlight(): number {
		return this.#inFlight;
	}

	get callerPort(): number {
		return this.#callerListener?.port ?? 0;
	}

	get localPort(): number {
		return this.#localListener?.port ?? 0;
	}

	/** Opens the caller port and the local port. */
	async open(caller: ListenerOptions, local: ListenerOptions): Promise<void> {
		this.#callerListener = await Listener.open(caller, (request, response) => {
			void this.#handleRequest(
				request,
				response,
				findCaller(this.#matcher, request.headers.authorization),
			);
		});
		this.#localListener = await Listener.open(local, (request, response) => {
			this.#handleLocalRequest(request, response);
		});
	}

	/** Closes the caller port; resolves after its last call has ended. */
	async closeCallerListener(): Promise<void> {
		await this.#callerListener?.close();
	}

	/** Closes the local port and the connections to peers. */
	async close(): Promise<void> {
		await this.#localListener?.close();
		await this.pools.close();
	}

	receive(message: TaskMessage): void {
		switch (message.kind) {
			case 'members': {
				this.router.setMembers(message.members, readMonotonicMs());
				break;
			}

			case 'policy': {
				this.#matcher = PolicyMatcher.create(message.policy.document);
				this.overloadTracker.applyPolicy(message.policy.document);
				this.#counter.applyPolicy(message.policy.document);
				this.#policyVersion = message.policy.version;
				this.router.applyPolicy(message.policy.document);
				this.#once?.applyLimits(message.policy.document.once);
				break;
			}

			case 'refuse': {
				this.#isRefusingCallers = true;
				break;
			}

			case 'leave': {
				break;
			}
		}
	}

	/** Chooses a server for an attempt, except those in `excluded`. */
	chooseServer(
		call: ClassifiedCall,
		excluded: ReadonlySet<string>,
		requestBytes: number,
		onlyInstanceId?: string,
	): RouteChoice {
		return this.router.choose(
			{
				service: call.context.service,
				importance: call.context.importance,
				needs: call.rule.needs,
				callName: call.context.callName,
				requestBytes,
				excluded,
				...(onlyInstanceId === undefined ? {} : {onlyInstanceId}),
			},
			readMonotonicMs(),
		);
	}

	/** Enables once calls. Called after the peer port has opened, since claims contain it. */
	enableOnceCalls(once: EntryOnceCalls): void {
		this.#once = once;
	}

	/** Kills a nonce at a guard: the guard reports whether it sent the call, and won't send it later. */
	async killNonceAtGuard(member: Member, nonce: string): Promise<KillVerdict> {
		return this.#once?.killNonceAtGuard(member, nonce) ?? 'unreachable';
	}

	/**
	 * Handles a request of the local backend server. With a token it is a child call, whose parent call must
	 * still be running; without one the backend server makes it on its own behalf.
	 */
	#handleLocalRequest(request: IncomingMessage, response: ServerResponse): void {
		const token = request.headers[headerNames.context];
		if (typeof token !== 'string') {
			const origin = {kind: 'serverOwn', service: this.#options.identity.service} as const;
			void this.#handleRequest(request, response, origin);
			return;
		}

		const parent = this.#options.running.findByToken(token);
		if (parent === undefined) {
			this.#sendRefusal(response, refusals.parentEnded);
			return;
		}

		void this.#handleRequest(request, response, {kind: 'server', parent});
	}

	async #handleRequest(
		request: IncomingMessage,
		response: ServerResponse,
		origin: CallOrigin | 'badToken',
	): Promise<void> {
		const startedAtMs = readMonotonicMs();
		if (origin === 'badToken') {
			this.#sendRefusal(response, refusals.badToken);
			return;
		}

		if (this.#isRefusingCallers && origin.kind === 'caller') {
			response.setHeader('connection', 'close');
			this.#sendRefusal(response, refusals.leaving);
			return;
		}

		if (request.url?.startsWith(keysPath)) {
			const input = {matcher: this.#matcher, router: this.router, once: this.#once, origin};
			const refusal = mintKey(request, response, input);
			if (refusal !== undefined) {
				this.#sendRefusal(response, refusal);
			}

			return;
		}

		const call = classifyCall(request, {
			matcher: this.#matcher,
			policyVersion: this.#policyVersion,
			origin,
		});
		if (call.isErr()) {
			this.#sendRefusal(response, call.error);
			return;
		}

		this.#inFlight++;
		try {
			const outcome = await this.#runCall(call.value, origin, request, response);
			this.#counter.count(call.value, outcome, readMonotonicMs() - startedAtMs);
		} finally {
			this.#inFlight--;
		}
	}

	async #runCall(
		call: ClassifiedCall,
		origin: CallOrigin,
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<Outcome> {
		const body = await readRequestBody(request, call.rule.maxBodyBytes);
		if (body.isErr()) {
			return this.#sendBodyRefusal(response, body.error);
		}

		const input = {call, origin, body: body.value, request, response};
		return call.rule.once && this.#once !== undefined
			? this.#runOnce(this.#once, input)
			: EntryCall.create(this, input).run();
	}

	/** Reads the whole body first, since the claim of a once call contains its fingerprint. */
	async #runOnce(once: EntryOnceCalls, input: EntryCallInput): Promise<Outcome> {
		const body = await readWholeBody(input.body, input.call.rule.maxBodyBytes);
		return body.isErr()
			? this.#sendBodyRefusal(input.response, body.error)
			: OnceCall.create(this, once, {...input, body: body.value}).run();
	}

	#sendBodyRefusal(response: ServerResponse, error: RequestBodyError): Outcome {
		if (!response.headersSent) {
			response.setHeader('connection', 'close');
		}

		this.#sendRefusal(response, createBodyRefusal(error));
		return {kind: 'notRun', reason: 'bad-request'};
	}

	#sendRefusal(response: ServerResponse, refusal: CallRefusal): void {
		sendProblem(response, {
			status: refusal.status,
			title: refusal.title,
			detail: refusal.detail,
			outcome: {kind: 'notRun', reason: refusal.reason},
		});
	}
}
