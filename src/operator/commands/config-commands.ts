/**
 * Commands that validate, compare, apply and list versions of the policy document.
 */
import {Command, Option} from 'clipanion';
import {exitCodeHelp, OperatorCommand} from './operator-command.ts';

const category = 'Configuration';

export class ConfigValidateCommand extends OperatorCommand {
	static override paths = [['config', 'validate']];
	static override usage = Command.Usage({
		category,
		description: 'check a policy document',
		details: `Checks the document in FILE and changes nothing. Needs neither settings nor platform. ${exitCodeHelp}`,
		examples: [['Check a file', '$0 config validate policy.json']],
	});

	file = Option.String({name: 'FILE'});

	protected override async run() {
		const {validateConfig} = await import('./config-actions.ts');
		return validateConfig(this.file);
	}
}

export class ConfigDiffCommand extends OperatorCommand {
	static override paths = [['config', 'diff']];
	static override usage = Command.Usage({
		category,
		description: 'show what a policy document would change',
		details: `Lists the fields of FILE that differ from the version in force, or from another version. ${exitCodeHelp}`,
		examples: [
			['Against the version in force', '$0 config diff policy.json'],
			['Against version 7', '$0 config diff policy.json --base 7'],
		],
	});

	file = Option.String({name: 'FILE'});
	base = Option.String('--base', {description: 'Version to compare with'});

	protected override async run() {
		const {diffConfig} = await import('./config-actions.ts');
		return diffConfig(this.settingsFile, this.file, this.base);
	}
}

export class ConfigApplyCommand extends OperatorCommand {
	static override paths = [['config', 'apply']];
	static override usage = Command.Usage({
		category,
		description: 'put a policy document in force',
		details: `Writes FILE as the version after --base, the version that the change is based on. If another version was applied first, nothing is written and the changed fields are listed. ${exitCodeHelp}`,
		examples: [
			['The first version', '$0 config apply policy.json --base 0'],
			['A change based on version 7', '$0 config apply policy.json --base 7 --author amelie'],
		],
	});

	file = Option.String({name: 'FILE'});
	base = Option.String('--base', {
		required: true,
		description: 'Version that the change is based on',
	});

	author = Option.String('--author', {description: 'Name in the history; else the login name'});
	changeId = Option.String('--change-id', {
		description: 'Id of an earlier attempt whose outcome is unknown',
	});

	protected override async run() {
		const {applyConfig} = await import('./config-actions.ts');
		return applyConfig(this.settingsFile, {
			file: this.file,
			base: this.base,
			author: this.author,
			changeId: this.changeId,
		});
	}
}

export class ConfigHistoryCommand extends OperatorCommand {
	static override paths = [['config', 'history']];
	static override usage = Command.Usage({
		category,
		description: 'list all versions',
		details: `Lists each version with its digest, author and time, and verifies that each follows the one before. ${exitCodeHelp}`,
		examples: [['All versions', '$0 config history']],
	});

	protected override async run() {
		const {listConfigHistory} = await import('./config-actions.ts');
		return listConfigHistory(this.settingsFile);
	}
}

export class ConfigShowCommand extends OperatorCommand {
	static override paths = [['config', 'show']];
	static override usage = Command.Usage({
		category,
		description: 'print a policy document',
		details: `Prints the document in force, or that of another version, ready to edit; its version goes to standard error. With --json the whole version is one JSON value. ${exitCodeHelp}`,
		examples: [
			['Save the document in force', '$0 config show > policy.json'],
			['Print version 7', '$0 config show 7'],
		],
	});

	version = Option.String({name: 'VERSION', required: false});

	protected override async run() {
		const {showConfig} = await import('./config-actions.ts');
		return showConfig(this.settingsFile, this.version);
	}
}
