/**
 * Base class of all commands: common options, output as text or JSON, exit codes.
 */
import {Command, Option} from 'clipanion';
import {type Result} from 'neverthrow';
import {exitCodes, type OperatorError} from '../errors.ts';

/** Output of a command that succeeded. */
export type CommandOutput = {
	/** Written without `--json`. */
	readonly text: string;
	/** Written as one JSON value with `--json`. */
	readonly data: unknown;
	/** Written to standard error, only without `--json`. */
	readonly remark?: string;
};

export type CommandResult = Result<CommandOutput, OperatorError>;

/** Last sentence of each command's help text. */
export const exitCodeHelp =
	'Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings, 3 conflict with another change.';

const defaultSettingsFile = 'operator.ini';

/** A command of primrosevalvectl, primrosevalve-report or primrosevalve-console. */
export abstract class OperatorCommand extends Command {
	settingsFile = Option.String('--settings', defaultSettingsFile, {
		env: 'PRIMROSEVALVE_SETTINGS',
		description: `Settings file; else PRIMROSEVALVE_SETTINGS, else ${defaultSettingsFile}`,
	});

	json = Option.Boolean('--json', false, {description: 'Write one JSON value'});

	override async execute(): Promise<number> {
		const result = await this.run();
		return result.match(
			output => this.#writeOutput(output),
			error => this.#writeError(error),
		);
	}

	/** Runs the command's action; its module is imported here, so that other commands don't load it. */
	protected abstract run(): Promise<CommandResult>;

	#writeOutput(output: CommandOutput): number {
		const text = this.json ? `${JSON.stringify(output.data)}\n` : output.text;
		this.context.stdout.write(text);
		if (output.remark !== undefined && !this.json) {
			this.context.stderr.write(`${output.remark}\n`);
		}

		return exitCodes.ok;
	}

	#writeError(error: OperatorError): number {
		const {kind, message, nextStep} = error;
		const text = this.json
			? JSON.stringify({error: {kind, message, nextStep}})
			: `${this.cli.binaryName}: ${message}\n${nextStep}`;
		this.context.stderr.write(`${text}\n`);
		return error.exitCode;
	}
}
