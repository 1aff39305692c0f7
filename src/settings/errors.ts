/**
 * Errors of settings files.
 */

/** Error of a settings file that is missing or invalid; the message names the file, section, key and value. */
export class SettingsError extends Error {
	/**
	 * @example
	 * SettingsError.create('daemon.ini', 'missing file');
	 */
	static create(file: string, detail: string): SettingsError {
		return new SettingsError(`settings file "${file}": ${detail}`);
	}

	/**
	 * @example
	 * SettingsError.createForKey('daemon.ini', {section: 'listeners', key: 'peer_port', value: 'x'}, 'not a port');
	 */
	static createForKey(file: string, location: SettingsLocation, detail: string): SettingsError {
		const shown = location.value === undefined ? 'missing' : JSON.stringify(location.value);
		return SettingsError.create(
			file,
			`section [${location.section}], key "${location.key}", value ${shown}: ${detail}`,
		);
	}

	override readonly name = 'SettingsError';
}

/** Section, key and value in a settings file. */
export type SettingsLocation = {
	readonly section: string;
	readonly key: string;
	readonly value: unknown;
};
