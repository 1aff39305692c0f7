/**
 * The guard task: admits calls that peers send and forwards them to the local backend server.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {createPool, type HttpPool} from '../../http/pool.ts';
import {type AdmissionController} from '../../admission/types.ts';
import {decodeContext, encodeReport, headerNames} from '../../call/headers.ts';
import {type CallContext, type GuardReport, type GuardState} from '../../call/types.ts';
import {createFallbackServicePolicy} from '../../policy/built-in.ts';
import {type CallRule, type Policy, type ServicePolicy} from '../../policy/schema.ts';
import {type Logger} from '../../reporting/logger.ts';
import {type Metrics} from '../../reporting/metrics.ts';
import {Listener, type ListenerOptions} from '../http/listener.ts';
import {sendProblem} from '../http/problem.ts';
import {SecretKey} from '../http/secret.ts';
import {type Identity} from '../identity.ts';
import {type Task, type TaskMessage} from '../messages.ts';
import {GuardOnceCalls} from '../once/guard-once-calls.ts';
import {answerUnexecutedCall} from '../once/once-answers.ts';
import {handleKillRequest, killPath, type KillHandler} from '../once/kill-messages.ts';
import {GuardedCall} from './guarded-call.ts';
import {RunningCalls} from './running-calls.ts';

export type GuardOptions = {
	readonly identity: Identity;
	readonly backendPort: number;
	readonly peerKey: string;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly createAdmissionController: (policy: ServicePolicy) => AdmissionController;
};

/** Handles a control request that arrives on the peer port. */
export type ControlHandler = (request: IncomingMessage, response: ServerResponse) => void;

const coldStartMs = 5000;
const backendConnectTimeoutMs = 1000;

/** Owns the peer listener, the admission controller and the connections to the backend server. */
export class GuardTask implements Task {
	/**
	 * @example
	 * const guard = GuardTask.create(options, policy);
	 */
	static create(options: GuardOptions, policy: Policy): GuardTask {
		return new GuardTask(options, policy);
	}

	/** Calls that run on the local backend server. */
	readonly running = RunningCalls.create();
	readonly admission: AdmissionController;
	readonly metrics: Metrics;
	readonly logger: Logger;
	readonly onceCalls: GuardOnceCalls;
	readonly #backendOrigin: string;
	#pool: HttpPool;
	readonly #identity: Identity;
	readonly #peerKey: SecretKey;
	#policy: Policy;
	/** Policy of the service that the local backend server belongs to. */
	#servicePolicy: ServicePolicy;
	#state: GuardState = 'cold';
	#listener: Listener | undefined;
	#controlHandler: ControlHandler | undefined;
	#killHandler: KillHandler | undefined;
	#inFlight = 0;

	private constructor(options: GuardOptions, policy: Policy) {
		this.#identity = options.identity;
		this.#peerKey = SecretKey.create(options.peerKey);
		this.onceCalls = GuardOnceCalls.create(options.identity.instanceId, options.peerKey);
		this.#policy = policy;
		this.logger = options.logger;
		this.metrics = options.metrics;
		this.#servicePolicy = this.#findServicePolicy();
		this.admission = options.createAdmissionController(this.#servicePolicy);
		this.#backendOrigin = `http://127.0.0.1:${options.backendPort}`;
		this.#pool = this.#openPool(this.#servicePolicy);
		setTimeout(() => {
			this.#endColdStart();
		}, coldStartMs).unref();
	}

	/** Connections to the backend server. */
	get pool(): HttpPool {
		return this.#pool;
	}

	/** Number of calls that wait for a slot or run. */
	get inFlight(): number {
		return this.#inFlight;
	}

	get port(): number {
		return this.#listener?.port ?? 0;
	}

	get state(): GuardState {
		return this.#state;
	}

	get policy(): Policy {
		return this.#policy;
	}

	/** Opens the peer port. */
	async open(options: ListenerOptions): Promise<void> {
		this.#listener = await Listener.open(options, (request, response) => {
			this.#handleRequest(request, response);
		});
	}

	async close(): Promise<void> {
		await this.#listener?.close();
		await this.#pool.close();
	}

	/** Sets the handler of kill requests, which peers send about once calls. */
	setKillHandler(handler: KillHandler): void {
		this.#killHandler = handler;
	}

	setControlHandler(handler: ControlHandler): void {
		this.#controlHandler = handler;
	}

	receive(message: TaskMessage): void {
		switch (message.kind) {
			case 'policy': {
				this.#applyPolicy(message.policy.document);
				break;
			}

			case 'refuse': {
				this.#state = 'draining';
				break;
			}

			case 'members':
			case 'leave': {
				break;
			}
		}
	}

	/**
	 * Reads the state and load of this guard, which every answer reports in its headers.
	 *
	 * @param isOverloadedBelow - whether a child call was refused because of overload
	 */
	readReport(isOverloadedBelow = false): GuardReport {
		const load = this.admission.readReport();
		return {
			server: this.#identity.server,
			instanceId: this.#identity.instanceId,
			state: this.#state,
			isOverloadedBelow,
			...load,
		};
	}

	/** Finds the size class of a call in the policy in force; `learned` when no rule sets it. */
	findSizeClass(callName: string): CallRule['sizeClass'] {
		const rule = this.#servicePolicy.calls.find(candidate => candidate.name === callName);
		return rule?.sizeClass ?? 'learned';
	}

	/** Encodes the control headers of an answer. */
	encodeAnswerHeaders(context: CallContext, allowanceLeft: number, isOverloadedBelow = false) {
		return {
			...encodeReport(this.readReport(isOverloadedBelow)),
			[headerNames.attempt]: context.attemptId,
			[headerNames.allowanceLeft]: String(allowanceLeft),
		};
	}

	/** Changes the state from cold to serving, unless the daemon is draining already. */
	#endColdStart(): void {
		if (this.#state === 'cold') {
			this.#state = 'serving';
		}
	}

	#handleRequest(request: IncomingMessage, response: ServerResponse): void {
		if (!this.#peerKey.isEqual(request.headers[headerNames.peerKey])) {
			sendProblem(response, {
				status: 401,
				title: 'Unauthorized',
				detail: 'the peer key is missing or wrong',
				outcome: {kind: 'notRun', reason: 'bad-request'},
			});
			return;
		}

		if (request.url === killPath && this.#killHandler !== undefined) {
			void handleKillRequest(request, response, this.#killHandler);
			return;
		}

		if (request.url?.startsWith('/primrosevalve/') && this.#controlHandler !== undefined) {
			this.#controlHandler(request, response);
			return;
		}

		const decoded = decodeContext(request.headers);
		if (decoded.isErr()) {
			sendProblem(response, {
				status: 400,
				title: 'Bad Request',
				detail: decoded.error.message,
				outcome: {kind: 'notRun', reason: 'bad-request'},
			});
			return;
		}

		this.#handleCall(decoded.value, request, response);
	}

	/** Refuses a call while the guard is draining; runs it otherwise. */
	#handleCall(context: CallContext, request: IncomingMessage, response: ServerResponse): void {
		if (this.#state === 'draining') {
			this.#refuseDraining(context, response);
			return;
		}

		this.#inFlight++;
		void this.#runCall(context, request, response);
	}

	/** Refuses a call as not run; a minted key used before gets its recorded result instead. */
	#refuseDraining(context: CallContext, response: ServerResponse): void {
		const headers = this.encodeAnswerHeaders(context, context.retryAllowance);
		const onceCall = this.onceCalls.createCall(context);
		const decision = onceCall?.begin();
		onceCall?.close();
		if (decision !== undefined && decision.kind !== 'run') {
			answerUnexecutedCall(response, decision, context.requestId, headers);
			return;
		}

		sendProblem(
			response,
			{
				status: 503,
				title: 'Service Unavailable',
				detail: `server "${this.#identity.server}" is leaving`,
				outcome: {kind: 'notRun', reason: 'draining'},
				requestId: context.requestId,
			},
			headers,
		);
	}

	async #runCall(
		context: CallContext,
		request: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		try {
			await GuardedCall.create(this, context, request, response).run();
		} catch (error) {
			this.logger.error(
				{requestId: context.requestId, error: (error as Error).stack},
				'guarded call failed',
			);
			response.destroy();
			throw error;
		} finally {
			this.#inFlight--;
		}
	}

	#applyPolicy(policy: Policy): void {
		const {connectionsPerServer} = this.#servicePolicy;
		this.#policy = policy;
		this.#servicePolicy = this.#findServicePolicy();
		this.admission.applyPolicy(this.#servicePolicy);
		if (this.#servicePolicy.connectionsPerServer === connectionsPerServer) {
			return;
		}

		// A closed pool lets the calls on its connections finish before it closes them.
		void this.#pool.close();
		this.#pool = this.#openPool(this.#servicePolicy);
	}

	#openPool(service: ServicePolicy): HttpPool {
		return createPool(this.#backendOrigin, {
			connections: service.connectionsPerServer,
			pipelining: 1,
			connectTimeout: backendConnectTimeoutMs,
		});
	}

	#findServicePolicy(): ServicePolicy {
		const found = this.#policy.services.find(service => service.name === this.#identity.service);
		return found ?? createFallbackServicePolicy(this.#identity.service);
	}
}
