/**
 * The administration port: serves health checks, metrics and status, and accepts drain requests.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import polka from 'polka';
import {type PolicyVersion} from '../../policy/types.ts';
import {type GuardReport} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {adminKeyHeader, type AdminCounters, type AdminStatus} from '../../operator/admin/types.ts';
import {type Metrics} from '../../reporting/metrics.ts';
import {Listener, type ListenerOptions} from '../http/listener.ts';
import {sendProblem} from '../http/problem.ts';
import {SecretKey} from '../http/secret.ts';
import {type Identity} from '../identity.ts';

/** What the administration port reads from the daemon, and the actions that it offers. */
export type AdminDependencies = {
	readonly identity: Identity;
	readonly readPolicy: () => PolicyVersion;
	readonly readMembers: () => readonly Member[];
	readonly readReport: () => GuardReport;
	readonly isReady: () => boolean;
	/** Starts a graceful shutdown. */
	readonly drain: () => void;
};

export type AdminOptions = {
	readonly adminKey: string;
	readonly metrics: Metrics;
	readonly dependencies: AdminDependencies;
};

/** Pages that need no key, since they show only whether the daemon is running and ready. */
const unauthenticatedPaths: ReadonlySet<string> = new Set(['/healthz', '/readyz']);

const bearerPrefix = 'Bearer ';

/** Reads the key from its own header or, for scrapers of metrics, from a bearer token. */
function readProvidedKey(request: IncomingMessage): string | string[] | undefined {
	const {authorization} = request.headers;
	return authorization?.startsWith(bearerPrefix)
		? authorization.slice(bearerPrefix.length)
		: request.headers[adminKeyHeader];
}

export class AdminTask {
	/**
	 * @example
	 * const admin = AdminTask.create(options);
	 */
	static create(options: AdminOptions): AdminTask {
		return new AdminTask(options);
	}

	readonly #options: AdminOptions;
	readonly #adminKey: SecretKey;
	#listener: Listener | undefined;

	private constructor(options: AdminOptions) {
		this.#options = options;
		this.#adminKey = SecretKey.create(options.adminKey);
	}

	get port(): number {
		return this.#listener?.port ?? 0;
	}

	async open(options: ListenerOptions): Promise<void> {
		const {metrics, dependencies} = this.#options;
		const app = polka({
			onNoMatch(_request, response) {
				sendNotFound(response);
			},
		});
		app.use((request, response, next) => {
			if (
				unauthenticatedPaths.has(request.path) ||
				this.#adminKey.isEqual(readProvidedKey(request))
			) {
				next();
				return;
			}

			sendUnauthorized(response);
		});
		app.get('/healthz', (_request, response) => {
			sendText(response, 200, 'ok\n');
		});
		app.get('/readyz', (_request, response) => {
			const isReady = dependencies.isReady();
			sendText(response, isReady ? 200 : 503, isReady ? 'ready\n' : 'not ready\n');
		});
		app.get('/metrics', async (_request, response) => {
			updateGauges(dependencies, metrics);
			response.setHeader('content-type', metrics.registry.contentType);
			response.end(await metrics.renderText());
		});
		app.get('/admin/status', (_request, response) => {
			sendJson(response, createStatus(dependencies));
		});
		app.get('/admin/members', (_request, response) => {
			sendJson(response, dependencies.readMembers());
		});
		app.get('/admin/counters', async (_request, response) => {
			sendJson(response, await listCounters(dependencies, metrics));
		});
		app.post('/admin/drain', (_request, response) => {
			sendJson(response, {draining: true});
			dependencies.drain();
		});
		this.#listener = await Listener.open(options, (request, response) => {
			app.handler(request as Parameters<typeof app.handler>[0], response);
		});
	}

	close(): void {
		this.#listener?.closeNow();
	}
}

/** Sets the gauges to the current values, at each read of the metrics. */
function updateGauges(dependencies: AdminDependencies, metrics: Metrics): void {
	const report = dependencies.readReport();
	metrics.setState('policy_version', dependencies.readPolicy().version);
	metrics.setState('members', dependencies.readMembers().length);
	metrics.setState('ready', dependencies.isReady() ? 1 : 0);
	metrics.setState('admission_level', report.admissionLevel);
	metrics.setState('slots_in_use', report.slotsInUse);
	metrics.setState('slot_limit', report.slotLimit);
	metrics.setState('queued', report.queued);
}

/** Lists the call counters with the daemon and the time at which they began to count. */
async function listCounters(
	dependencies: AdminDependencies,
	metrics: Metrics,
): Promise<AdminCounters> {
	const {server, instanceId, startedAtMs} = dependencies.identity;
	const counters = await metrics.listCallCounters();
	return counters.map(counter => ({server, instanceId, startedAtMs, ...counter}));
}

function createStatus(dependencies: AdminDependencies): AdminStatus {
	const {version, digest, appliedAtMs} = dependencies.readPolicy();
	return {policy: {version, digest, appliedAtMs}, guard: dependencies.readReport()};
}

function sendText(response: ServerResponse, status: number, text: string): void {
	response.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
	response.end(text);
}

function sendJson(response: ServerResponse, value: unknown): void {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

function sendUnauthorized(response: ServerResponse): void {
	sendProblem(response, {
		status: 401,
		title: 'Unauthorized',
		detail: `header "${adminKeyHeader}" is missing or wrong`,
		outcome: {kind: 'notRun', reason: 'bad-request'},
	});
}

function sendNotFound(response: ServerResponse): void {
	sendProblem(response, {
		status: 404,
		title: 'Not Found',
		detail: 'the administration port has no such page',
		outcome: {kind: 'notRun', reason: 'bad-request'},
	});
}
