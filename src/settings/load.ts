/**
 * Loads an INI file and validates it against a schema.
 */
import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod/mini';
import {SettingsError} from './errors.ts';

type IniContent = Readonly<Record<string, unknown>>;

/** Returns the text of the file, or an error with the reason why it can't be read. */
function readFileText(file: string): Result<string, SettingsError> {
	try {
		return ok(readFileSync(file, 'utf8'));
	} catch (error) {
		const code = (error as NodeJS.ErrnoException).code ?? 'unreadable';
		return err(
			SettingsError.create(file, code === 'ENOENT' ? 'missing file' : `can't be read (${code})`),
		);
	}
}

/** Returns the value that a schema issue refers to; undefined when it is missing. */
function findValue(content: IniContent, section: string, key: string): unknown {
	const sectionContent = content[section];
	return typeof sectionContent === 'object' && sectionContent !== null
		? (sectionContent as Record<string, unknown>)[key]
		: sectionContent;
}

/** Converts a schema issue into an error that names the section, key and value. */
function convertSchemaIssue(
	file: string,
	content: IniContent,
	issue: z.core.$ZodIssue,
): SettingsError {
	const section = String(issue.path[0] ?? '');
	if (issue.code === 'unrecognized_keys') {
		const key = issue.keys[0] ?? '';
		if (section === '') {
			return SettingsError.create(file, `section [${key}] is not known`);
		}

		const value = findValue(content, section, key);
		return SettingsError.createForKey(file, {section, key, value}, 'key is not known');
	}

	if (issue.path.length < 2) {
		return SettingsError.create(file, `section [${section}] is missing`);
	}

	const key = String(issue.path[1]);
	const value = findValue(content, section, key);
	return SettingsError.createForKey(file, {section, key, value}, issue.message);
}

/**
 * Loads settings from an INI file.
 *
 * @param schema - an object of sections, each an object of keys
 * @returns the validated settings, or an error for the first issue
 * @example
 * const settings = loadSettings('daemon.ini', daemonSettingsSchema);
 */
export function loadSettings<Schema extends z.ZodMiniType>(
	file: string,
	schema: Schema,
): Result<z.output<Schema>, SettingsError> {
	return readFileText(file).andThen((text): Result<z.output<Schema>, SettingsError> => {
		const content = parse(text) as IniContent;
		const parsed = z.safeParse(schema, content);
		if (parsed.success) {
			return ok(parsed.data);
		}

		const [issue] = parsed.error.issues;
		return err(
			issue === undefined
				? SettingsError.create(file, 'does not match the settings schema')
				: convertSchemaIssue(file, content, issue),
		);
	});
}
