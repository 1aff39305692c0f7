/**
 * Errors of the settings layer.
 */

/** A settings file that can't be used; the message names file, section, key and value. */
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
	static createForKey(file: string, place: SettingsPlace, detail: string): SettingsError {
		const shown = place.value === undefined ? 'missing' : JSON.stringify(place.value);
		return SettingsError.create(
			file,
			`section [${place.section}], key "${place.key}", value ${shown}: ${detail}`,
		);
	}

	override readonly name = 'SettingsError';
}

/** Where a value stands in a settings file. */
export type SettingsPlace = {
	readonly section: string;
	readonly key: string;
	readonly value: unknown;
};
