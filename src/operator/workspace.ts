/**
 * What an operators' tool works with: the platform, the policy store and the daemons.
 */
import {err, ok, type Result} from 'neverthrow';
import {createPlatform, type Platform} from '../store/create-platform.ts';
import {PolicyStore} from '../policy/policy-store.ts';
import {BurnStore} from '../reporting/burn/burn-store.ts';
import {loadSettings} from '../settings/load.ts';
import {operatorSettingsSchema, type OperatorSettings} from '../settings/operator-settings.ts';
import {convertPlatformSection} from '../settings/platform-settings.ts';
import {AdminClient} from './admin/admin-client.ts';
import {OperatorError} from './errors.ts';

export type Workspace = {
	readonly settings: OperatorSettings;
	readonly platform: Platform;
	readonly policies: PolicyStore;
	readonly burn: BurnStore;
	readonly admin: AdminClient;
};

/**
 * Opens the workspace that a settings file describes.
 *
 * @example
 * const workspace = openWorkspace('operator.ini');
 */
export function openWorkspace(settingsFile: string): Result<Workspace, OperatorError> {
	const loaded = loadSettings(settingsFile, operatorSettingsSchema);
	if (loaded.isErr()) {
		const nextStep = 'Correct the file, or name another with --settings; see docs/SETTINGS.md.';
		return err(OperatorError.create('usage', loaded.error.message, nextStep));
	}

	const settings = loaded.value;
	const platform = createPlatform(convertPlatformSection(settings.platform));
	const {key, urls, port, timeout_ms: timeoutMs} = settings.admin;
	return ok({
		settings,
		platform,
		policies: PolicyStore.create(platform.table, {readTimeMs: () => Date.now()}),
		burn: BurnStore.create(platform.objects, settings.burn.collector),
		admin: AdminClient.create({key, urls, port, timeoutMs}),
	});
}
