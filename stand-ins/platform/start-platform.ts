/**
 * Starts a platform stand-in together with clients for it, for tests.
 */
import {createPlatformClients, type PlatformClients} from '../../src/store/platform-clients.ts';
import {defaultStandInOptions, PlatformStandIn} from './platform-stand-in.ts';

export type StartedPlatform = {
	readonly standIn: PlatformStandIn;
	readonly clients: PlatformClients;
	readonly url: string;
	close(): Promise<void>;
};

/**
 * Starts a platform stand-in on a free port and creates its clients.
 *
 * @example
 * const {clients, close} = await startPlatform();
 */
export async function startPlatform(): Promise<StartedPlatform> {
	const standIn = PlatformStandIn.create();
	const url = await standIn.listen(0);
	const platform = createPlatformClients({
		...defaultStandInOptions,
		tableUrl: url,
		objectsUrl: url,
		awsRegion: 'qc-est',
		timeoutMs: 5000,
	});
	return {
		standIn,
		clients: platform,
		url,
		async close() {
			await platform.close();
			await standIn.close();
		},
	};
}
