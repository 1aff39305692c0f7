/**
 * Loads an INI file and checks it against a schema.
 */
import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod/mini';
import {SettingsError} from './errors.ts';

type IniContent = Readonly<Record<string, unknown>>;

/** Reads the file's text, or says why it can't be read. */
function readText(file: string): Result<string, SettingsError> {
	try {
		return ok(readFileSync(file, 'utf8'));
	} catch (error) {
		const code = (error as NodeJS.ErrnoException).code ?? 'unreadable';
		return err(
			SettingsError.create(file, code === 'ENOENT' ? 'missing file' : `can't be read (${code})`),
		);
	}
}

/** Finds the value that an issue of the schema is about. */
function findValue(content: IniContent, section: string, key: string): unknown {
	const part = content[section];
	return typeof part === 'object' && part !== null ? (part as Record<string, unknown>)[key] : part;
}

/** Turns the first issue of the schema into an error that names section, key and value. */
function convertIssue(file: string, content: IniContent, issue: z.core.$ZodIssue): SettingsError {
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
 * @returns the checked settings, or an error that names the first fault
 * @example
 * const settings = loadSettings('daemon.ini', daemonSettingsSchema);
 */
export function loadSettings<Schema extends z.ZodMiniType>(
	file: string,
	schema: Schema,
): Result<z.output<Schema>, SettingsError> {
	return readText(file).andThen((text): Result<z.output<Schema>, SettingsError> => {
		const content = parse(text) as IniContent;
		const parsed = z.safeParse(schema, content);
		if (parsed.success) {
			return ok(parsed.data);
		}

		const [issue] = parsed.error.issues;
		return err(
			issue === undefined
				? SettingsError.create(file, 'not valid')
				: convertIssue(file, content, issue),
		);
	});
}
