/**
 * Settings and clients of an operators' tool: the platform, the policy store, the burn store and the daemons.
 */
import {err, ok, type Result} from 'neverthrow';
import {createPlatformClients, type PlatformClients} from '../store/platform-clients.ts';
import {PolicyStore} from '../policy/policy-store.ts';
import {BurnStore} from '../reporting/burn/burn-store.ts';
import {loadSettings} from '../settings/load.ts';
import {operatorSettingsSchema, type OperatorSettings} from '../settings/operator-settings.ts';
import {convertPlatformSection} from '../settings/platform-settings.ts';
import {AdminClient} from './admin/admin-client.ts';
import {OperatorError} from './errors.ts';

/** Settings of an operators' tool and the clients created from them. */
export type OperatorContext = {
	readonly settings: OperatorSettings;
	readonly platformClients: PlatformClients;
	readonly policies: PolicyStore;
	readonly burnStore: BurnStore;
	readonly admin: AdminClient;
};

/**
 * Loads a settings file and creates the clients that it configures.
 *
 * @example
 * const context = createOperatorContext('operator.ini');
 */
export function createOperatorContext(
	settingsFile: string,
): Result<OperatorContext, OperatorError> {
	const loaded = loadSettings(settingsFile, operatorSettingsSchema);
	if (loaded.isErr()) {
		const nextStep = 'Correct the file, or name another with --settings; see docs/SETTINGS.md.';
		return err(OperatorError.create('usage', loaded.error.message, nextStep));
	}

	const settings = loaded.value;
	const platformClients = createPlatformClients(convertPlatformSection(settings.platform));
	const {key, urls, port, timeout_ms: timeoutMs} = settings.admin;
	return ok({
		settings,
		platformClients,
		policies: PolicyStore.create(platformClients.table, {readTimeMs: () => Date.now()}),
		burnStore: BurnStore.create(platformClients.objects, settings.burn.collector),
		admin: AdminClient.create({key, urls, port, timeoutMs}),
	});
}
