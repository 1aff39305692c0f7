/**
 * The administration port: health, metrics and status.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import polka from 'polka';
import {type PolicyVersion} from '../../policy/types.ts';
import {type GuardReport} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {adminKeyHeader, type AdminCounters, type AdminStatus} from '../../operator/admin/types.ts';
import {type Metrics} from '../../reporting/metrics.ts';
import {Listener, type ListenerOptions} from '../http/listener.ts';
import {answerProblem} from '../http/problem.ts';
import {SecretKey} from '../http/secret.ts';
import {type Identity} from '../identity.ts';

/** What administration may read and do. */
export type AdminPort = {
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
	readonly port: AdminPort;
};

/** Pages that tell nothing but whether the daemon runs; all others need the key. */
const openPaths: ReadonlySet<string> = new Set(['/healthz', '/readyz']);

const bearerPrefix = 'Bearer ';

/** Reads the key from its own header or, as scrapers of metrics send it, as a bearer token. */
function readGivenKey(request: IncomingMessage): string | string[] | undefined {
	const {authorization} = request.headers;
	return authorization?.startsWith(bearerPrefix)
		? authorization.slice(bearerPrefix.length)
		: request.headers[adminKeyHeader];
}

/** Owns the administration listener. */
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
		const {metrics, port} = this.#options;
		const app = polka({
			onNoMatch(_request, response) {
				answerNotFound(response);
			},
		});
		app.use((request, response, next) => {
			if (openPaths.has(request.path) || this.#adminKey.isEqual(readGivenKey(request))) {
				next();
				return;
			}

			answerUnauthorized(response);
		});
		app.get('/healthz', (_request, response) => {
			answerText(response, 200, 'ok\n');
		});
		app.get('/readyz', (_request, response) => {
			const isReady = port.isReady();
			answerText(response, isReady ? 200 : 503, isReady ? 'ready\n' : 'not ready\n');
		});
		app.get('/metrics', async (_request, response) => {
			updateState(port, metrics);
			response.setHeader('content-type', metrics.registry.contentType);
			response.end(await metrics.renderText());
		});
		app.get('/admin/status', (_request, response) => {
			answerJson(response, createStatus(port));
		});
		app.get('/admin/members', (_request, response) => {
			answerJson(response, port.readMembers());
		});
		app.get('/admin/counters', async (_request, response) => {
			answerJson(response, await listCounters(port, metrics));
		});
		app.post('/admin/drain', (_request, response) => {
			answerJson(response, {draining: true});
			port.drain();
		});
		this.#listener = await Listener.open(options, (request, response) => {
			app.handler(request as Parameters<typeof app.handler>[0], response);
		});
	}

	close(): void {
		this.#listener?.closeNow();
	}
}

/** Sets the facts that hold at the time of the reading. */
function updateState(port: AdminPort, metrics: Metrics): void {
	const report = port.readReport();
	metrics.setState('policy_version', port.readPolicy().version);
	metrics.setState('members', port.readMembers().length);
	metrics.setState('ready', port.isReady() ? 1 : 0);
	metrics.setState('admission_level', report.admissionLevel);
	metrics.setState('slots_in_use', report.slotsInUse);
	metrics.setState('slot_limit', report.slotLimit);
	metrics.setState('queued', report.queued);
}

/** Lists the call counters with the start that they count from. */
async function listCounters(port: AdminPort, metrics: Metrics): Promise<AdminCounters> {
	const {server, instanceId, startedAtMs} = port.identity;
	const counters = await metrics.listCallCounters();
	return counters.map(counter => ({server, instanceId, startedAtMs, ...counter}));
}

function createStatus(port: AdminPort): AdminStatus {
	const {version, digest, appliedAtMs} = port.readPolicy();
	return {policy: {version, digest, appliedAtMs}, guard: port.readReport()};
}

function answerText(response: ServerResponse, status: number, text: string): void {
	response.writeHead(status, {'content-type': 'text/plain; charset=utf-8'});
	response.end(text);
}

function answerJson(response: ServerResponse, value: unknown): void {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
}

function answerUnauthorized(response: ServerResponse): void {
	answerProblem(response, {
		status: 401,
		title: 'Unauthorized',
		detail: `header "${adminKeyHeader}" is missing or wrong`,
		outcome: {kind: 'notRun', reason: 'bad-request'},
	});
}

function answerNotFound(response: ServerResponse): void {
	answerProblem(response, {
		status: 404,
		title: 'Not Found',
		detail: 'the administration port has no such page',
		outcome: {kind: 'notRun', reason: 'bad-request'},
	});
}
