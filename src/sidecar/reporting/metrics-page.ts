/** Serves the Prometheus metrics page. The metrics library is loaded on the first request. */
import type http from 'node:http';
import {type Logger} from '../../reporting/logger.ts';
import {messageLimits} from '../http-endpoint.ts';
import {type GuardLoad} from '../link/messages.ts';
import {discardMessage} from '../read-message.ts';
import {type Scheduler} from '../scheduling/scheduler.ts';
import {type MessageLog} from './message-log.ts';
import {latencyBucketsMs, type RequestLog} from './request-log.ts';

export type MetricsSource = {
	readonly log: RequestLog;
	readonly messageLog: Pick<MessageLog, 'counts'>;
	readonly logger: Logger;
	readonly scheduler: Scheduler;
	readLoad(): GuardLoad;
	readConfigVersion(): number;
	/** Era of the store, as it last answered. */
	readStoreEra(): number;
	/** Time since the store confirmed the configuration. */
	readConfigAgeMs(): number;
	countMembers(): number;
	countOpenedConnections(): number;
};

/** Creates the request handler of the metrics address. */
export function createMetricsHandler(source: MetricsSource): http.RequestListener {
	let renderer: Promise<() => Promise<string>> | undefined;
	return (request, response) => {
		discardMessage(request, messageLimits);
		renderer ??= createRenderer(source);
		void sendPage(source.logger, renderer, response);
	};
}

async function sendPage(
	logger: Logger,
	renderer: Promise<() => Promise<string>>,
	response: http.ServerResponse,
): Promise<void> {
	try {
		const render = await renderer;
		const text = await render();
		response.writeHead(200, {'Content-Type': 'text/plain; version=0.0.4'});
		response.end(text);
	} catch (error) {
		logger.error({reason: (error as Error).message}, 'failed to render the metrics page');
		response.writeHead(500, {'Content-Length': 0});
		response.end();
	}
}

async function createRenderer(source: MetricsSource): Promise<() => Promise<string>> {
	// A bundle gives a CommonJS package as the default export only.
	const {
		default: {Gauge, Registry},
	} = await import('prom-client');
	const registry = new Registry();
	const registers = [registry];
	const gauges: Array<[string, string, () => number]> = [
		[
			'primrosevalve_guard_running',
			'Requests at the backend server',
			() => source.readLoad().running,
		],
		[
			'primrosevalve_guard_waiting',
			'Requests that wait in the guard',
			() => source.readLoad().waiting,
		],
		['primrosevalve_guard_limit', 'Requests that may run at a time', () => source.readLoad().limit],
		[
			'primrosevalve_guard_limited_total',
			"Requests that other servers got because of the server's limit",
			() => source.log.limitedCount,
		],
		[
			'primrosevalve_server_limit_per_second',
			'Requests a second that the server names; 0 for no limit',
			() => readLimit(source.readLoad()),
		],
		['primrosevalve_config_version', 'Configuration in force', () => source.readConfigVersion()],
		[
			'primrosevalve_server_crashes_total',
			'Ends of the server while it ran requests',
			() => source.log.crashCount,
		],
		[
			'primrosevalve_store_era',
			'How often the store has returned from an older copy',
			() => source.readStoreEra(),
		],
		[
			'primrosevalve_config_age_milliseconds',
			'Time since the store confirmed the configuration in force',
			() => source.readConfigAgeMs(),
		],
		['primrosevalve_members', 'Backend servers known', () => source.countMembers()],
		[
			'primrosevalve_server_connections_total',
			'Connections opened to the server',
			() => source.countOpenedConnections(),
		],
		[
			'primrosevalve_event_loop_lag_max_milliseconds',
			'Longest delay of the event loop since the last page',
			() => source.scheduler.lag.collectMaxLagMs(performance.now()),
		],
		[
			'primrosevalve_accept_wait_max_milliseconds',
			'Longest time that a caller may have waited for its connection to be accepted, since the last page',
			() => source.scheduler.callerAcceptQueue.collectMaxWaitMs(),
		],
		[
			'primrosevalve_link_accept_wait_max_milliseconds',
			'Longest time that a peer may have waited for its connection to be accepted, since the last page',
			() => source.scheduler.linkAcceptQueue.collectMaxWaitMs(),
		],
		[
			'primrosevalve_guard_busy_total',
			'Requests that were refused since the sidecar was too busy to start them in time',
			() => source.log.busyCount,
		],
		[
			'primrosevalve_run_queue_length',
			'Requests that were read and have not been started, since input is read late',
			() => source.scheduler.runQueue.length,
		],
		[
			'primrosevalve_log_lines_dropped_total',
			'Request lines that the budget dropped',
			() => source.log.droppedLineCount,
		],
	];
	for (const [name, help, read] of gauges) {
		const gauge: InstanceType<typeof Gauge> = new Gauge({
			name,
			help,
			registers,
			collect() {
				gauge.set(read());
			},
		});
	}

	const cancelled = new Gauge({
		name: 'primrosevalve_requests_cancelled_total',
		help: 'Requests whose caller left, by the phase that they were in',
		labelNames: ['phase'],
		registers,
		collect() {
			for (const [phase, count] of Object.entries(source.log.cancelledCounts)) {
				cancelled.set({phase}, count);
			}
		},
	});
	const ignored = new Gauge({
		name: 'primrosevalve_messages_ignored_total',
		help: 'Messages from outside that changed nothing, by where they came in and why',
		labelNames: ['source', 'cause'],
		registers,
		collect() {
			for (const [from, causes] of source.messageLog.counts) {
				for (const [cause, count] of causes) {
					ignored.set({source: from, cause}, count);
				}
			}
		},
	});
	addRequestMetrics(
		new Gauge({
			name: 'primrosevalve_requests_total',
			help: 'Requests by route and status',
			labelNames: ['route', 'status'],
			registers,
		}),
		new Gauge({
			name: 'primrosevalve_request_duration_milliseconds_bucket',
			help: 'Requests answered within the bound',
			labelNames: ['route', 'status', 'le'],
			registers,
		}),
		source.log,
	);
	return async () => registry.metrics();
}

function readLimit({pace}: GuardLoad): number {
	return pace.limit.kind === 'paced' ? pace.limit.perSecond : 0;
}

type LabelledGauge = {
	collect?: () => void;
	set(labels: Record<string, string | number>, value: number): void;
};

/** Sets the request metrics from the counts of the request log on each rendering of the page. */
function addRequestMetrics(totals: unknown, buckets: unknown, log: RequestLog): void {
	const totalGauge = totals as LabelledGauge;
	const bucketGauge = buckets as LabelledGauge;
	totalGauge.collect = () => {
		for (const {route, status, count} of log.counts.values()) {
			totalGauge.set({route, status}, count);
		}
	};

	bucketGauge.collect = () => {
		for (const {route, status, count, buckets: counts} of log.counts.values()) {
			for (const [index, bound] of latencyBucketsMs.entries()) {
				bucketGauge.set({route, status, le: bound}, counts[index]!);
			}

			bucketGauge.set({route, status, le: '+Inf'}, count);
		}
	};
}
