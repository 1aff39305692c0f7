/** The HTTP endpoints beside the callers': messages of the local server, readiness checks and metrics. */
import type http from 'node:http';
import {type ControlOptions, createControlHandler, createReadyHandler} from './control-server.ts';
import {startHttpServer} from './http-endpoint.ts';
import {createMetricsHandler, type MetricsSource} from './reporting/metrics-page.ts';
import {type SidecarSettings} from './types.ts';

export type EndpointOptions = {
	readonly addresses: Pick<SidecarSettings, 'controlAddress' | 'readyAddress' | 'metricsAddress'>;
	readonly control: ControlOptions;
	readonly metrics: MetricsSource;
	isReady(): boolean;
};

export class Endpoints {
	/**
	 * @example
	 * const endpoints = Endpoints.create(options);
	 * await endpoints.start();
	 */
	static create(options: EndpointOptions): Endpoints {
		return new Endpoints(options);
	}

	#servers: http.Server[] = [];

	private constructor(private readonly options: EndpointOptions) {}

	/** Resolves when all endpoints listen. */
	async start(): Promise<void> {
		const {addresses, control, metrics, isReady} = this.options;
		this.#servers = await Promise.all([
			startHttpServer(addresses.controlAddress, createControlHandler(control)),
			startHttpServer(addresses.readyAddress, createReadyHandler(isReady)),
			startHttpServer(addresses.metricsAddress, createMetricsHandler(metrics)),
		]);
	}

	close(): void {
		for (const server of this.#servers) {
			server.closeAllConnections();
			server.close();
		}
	}
}
