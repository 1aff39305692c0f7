/**
 * Program of primrosevalvectl with all its commands. Each command imports its action only when it runs.
 */
import {BurnCommand} from './burn-commands.ts';
import {
	ConfigApplyCommand,
	ConfigDiffCommand,
	ConfigHistoryCommand,
	ConfigShowCommand,
	ConfigValidateCommand,
} from './config-commands.ts';
import {DrainCommand, ServersCommand, StatusCommand} from './fleet-commands.ts';
import {RecordVerifyCommand} from './record-commands.ts';
import {type CliProgram} from './run-cli.ts';

export const controlProgram: CliProgram = {
	binaryName: 'primrosevalvectl',
	binaryLabel: 'primrosevalve control',
	commands: [
		ConfigValidateCommand,
		ConfigDiffCommand,
		ConfigApplyCommand,
		ConfigHistoryCommand,
		ConfigShowCommand,
		StatusCommand,
		ServersCommand,
		DrainCommand,
		BurnCommand,
		RecordVerifyCommand,
	],
};
