/**
 * Actions of the configuration commands.
 */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {userInfo} from 'node:os';
import {err, ok, type Result} from 'neverthrow';
import {type Policy} from '../../policy/schema.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {parsePolicy} from '../../policy/validate.ts';
import {convertPolicyError} from '../convert-error.ts';
import {listFieldChanges, type Difference} from '../differences.ts';
import {OperatorError} from '../errors.ts';
import {formatTable} from '../format-table.ts';
import {createOperatorContext, type OperatorContext} from '../operator-context.ts';
import {type CommandResult} from './operator-command.ts';

const displayedDigestLength = 12;

async function readDocument(file: string): Promise<Result<Policy, OperatorError>> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		const code = (error as NodeJS.ErrnoException).code ?? 'unreadable';
		const nextStep = 'Name a file with a policy document; "config show" prints one.';
		return err(OperatorError.create('usage', `can't read "${file}" (${code})`, nextStep));
	}

	return parsePolicy(text).mapErr(error => convertPolicyError(error));
}

function parseVersion(text: string): Result<number, OperatorError> {
	return /^\d{1,15}$/v.test(text)
		? ok(Number(text))
		: err(
				OperatorError.create(
					'usage',
					`"${text}" is not a version number`,
					'Versions are whole numbers; list them with "config history".',
				),
			);
}

/** Reads the version given as text, or the version in force. */
async function readVersion(
	context: OperatorContext,
	text: string | undefined,
): Promise<Result<PolicyVersion, OperatorError>> {
	const {policies} = context;
	if (text !== undefined) {
		const version = parseVersion(text);
		return version.isErr()
			? err(version.error)
			: policies.readVersion(version.value).mapErr(error => convertPolicyError(error));
	}

	return policies
		.readHead()
		.andThen(head => policies.readVersion(head.version))
		.mapErr(error => convertPolicyError(error));
}

function formatDifferences(differences: readonly Difference[]): string {
	if (differences.length === 0) {
		return 'no difference\n';
	}

	const rows = differences.map(({path, before, after}) => [path, before, after]);
	return formatTable(['field', 'before', 'after'], rows);
}

/**
 * Validates a policy document without settings or a platform.
 *
 * @example
 * const result = await validateConfig('policy.json');
 */
export async function validateConfig(file: string): Promise<CommandResult> {
	const document = await readDocument(file);
	return document.map(() => ({text: `${file} is valid\n`, data: {valid: true}}));
}

/**
 * Lists the fields that a document changes compared with a base version, by default the version in force.
 *
 * @example
 * const result = await diffConfig('operator.ini', 'policy.json', undefined);
 */
export async function diffConfig(
	settingsFile: string,
	file: string,
	base: string | undefined,
): Promise<CommandResult> {
	const document = await readDocument(file);
	if (document.isErr()) {
		return err(document.error);
	}

	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const version = await readVersion(context.value, base);
	return version.map(({version: baseVersion, document: before}) => {
		const differences = listFieldChanges(before, document.value);
		return {
			text: formatDifferences(differences),
			data: {base: baseVersion, differences},
			remark: `compared with version ${baseVersion}`,
		};
	});
}

export type ApplyOptions = {
	readonly file: string;
	readonly base: string;
	readonly author: string | undefined;
	readonly changeId: string | undefined;
};

/**
 * Applies a document as the version after its base version; fails with a conflict if another version was applied first.
 *
 * @example
 * const result = await applyConfig('operator.ini', {file: 'policy.json', base: '7', author: 'amelie', changeId: undefined});
 */
export async function applyConfig(
	settingsFile: string,
	options: ApplyOptions,
): Promise<CommandResult> {
	const baseVersion = parseVersion(options.base);
	if (baseVersion.isErr()) {
		return err(baseVersion.error);
	}

	const document = await readDocument(options.file);
	if (document.isErr()) {
		return err(document.error);
	}

	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const applied = await context.value.policies.applyDocument({
		document: document.value,
		baseVersion: baseVersion.value,
		changeId: options.changeId ?? randomUUID(),
		author: options.author ?? userInfo().username,
	});
	return applied
		.map(({version, digest, changeId}) => ({
			text: `version ${version} applied (digest ${digest}); "status" shows the daemons adopt it\n`,
			data: {version, digest, changeId},
		}))
		.mapErr(error => convertPolicyError(error));
}

/**
 * Lists all versions and verifies that each follows the one before.
 *
 * @example
 * const result = await listConfigHistory('operator.ini');
 */
export async function listConfigHistory(settingsFile: string): Promise<CommandResult> {
	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const history = await context.value.policies.listHistory();
	return history
		.map(versions => ({
			text: formatHistory(versions),
			data: versions.map(({document: _document, ...entry}) => entry),
			remark: 'each version follows the one before',
		}))
		.mapErr(error => convertPolicyError(error));
}

function formatHistory(versions: readonly PolicyVersion[]): string {
	const rows = versions.map(entry => [
		String(entry.version),
		new Date(entry.appliedAtMs).toISOString(),
		entry.author,
		entry.digest.slice(0, displayedDigestLength),
		entry.changeId,
	]);
	return formatTable(['version', 'applied at', 'author', 'digest', 'change'], rows);
}

/**
 * Prints the document of a version, by default the version in force.
 *
 * @example
 * const result = await showConfig('operator.ini', undefined);
 */
export async function showConfig(
	settingsFile: string,
	version: string | undefined,
): Promise<CommandResult> {
	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const read = await readVersion(context.value, version);
	return read.map(found => ({
		text: `${JSON.stringify(found.document, undefined, '\t')}\n`,
		data: found,
		remark: `version ${found.version}; apply a change to it with --base ${found.version}`,
	}));
}
