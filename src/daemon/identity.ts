/**
 * Identity of a daemon: the names from its settings and an instance id that is generated at each start.
 */
import {randomUUID} from 'node:crypto';
import {type DaemonSettings} from '../settings/daemon-settings.ts';

export type Identity = {
	readonly server: string;
	readonly service: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly address: string;
	readonly instanceId: string;
	readonly startedAtMs: number;
};

/**
 * Creates the identity from the settings, with a new instance id and the current time as the start.
 *
 * @example
 * const identity = createIdentity(settings);
 */
export function createIdentity(settings: DaemonSettings): Identity {
	return {
		server: settings.daemon.server,
		service: settings.daemon.service,
		dataCentre: settings.daemon.data_centre,
		region: settings.daemon.region,
		address: settings.daemon.address,
		instanceId: randomUUID(),
		startedAtMs: Date.now(),
	};
}
