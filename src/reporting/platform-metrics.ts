/**
 * Metrics of the requests that a daemon sends to the platform.
 */
import {Counter, Gauge, type Registry} from 'prom-client';
import {type CircuitState} from '../store/circuit-breaker.ts';
import {type PlatformUsage} from '../store/request-executor.ts';

/** Source of the metrics of one platform service. */
export type PlatformSource = {
	readonly service: 'table' | 'objects';
	readonly readUsage: () => PlatformUsage;
	readonly readCircuitState: () => CircuitState;
};

const usageKinds = ['reads', 'writes', 'failures', 'refused'] as const;

/**
 * Adds the metrics to a registry. Their values are read each time the registry is rendered.
 *
 * @example
 * addPlatformMetrics(metrics.registry, [{service: 'table', readUsage, readCircuitState}]);
 */
export function addPlatformMetrics(registry: Registry, sources: readonly PlatformSource[]): void {
	const requests = new Counter({
		name: 'primrosevalve_platform_requests_total',
		help: 'Requests to the platform: reads and writes sent, failures without an answer, and refused by the circuit',
		labelNames: ['service', 'kind'],
		registers: [registry],
		collect() {
			requests.reset();
			for (const {service, readUsage} of sources) {
				const usage = readUsage();
				for (const kind of usageKinds) {
					requests.inc({service, kind}, usage[kind]);
				}
			}
		},
	});
	const circuits = new Gauge({
		name: 'primrosevalve_platform_circuit_closed',
		help: '1 while requests to the service of the platform are sent, 0 while the circuit is open',
		labelNames: ['service'],
		registers: [registry],
		collect() {
			for (const {service, readCircuitState} of sources) {
				circuits.set({service}, readCircuitState() === 'closed' ? 1 : 0);
			}
		},
	});
}
