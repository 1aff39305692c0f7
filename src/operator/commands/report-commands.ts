/**
 * Commands and program of primrosevalve-report.
 */
import {Command, Option} from 'clipanion';
import {exitCodeHelp, OperatorCommand} from './operator-command.ts';
import {type CliProgram} from './run-cli.ts';

export class ReportCommand extends OperatorCommand {
	static override paths = [['burn']];
	static override usage = Command.Usage({
		description: 'write the service-level burn report',
		details: `Computes burn rates and the error budget left for the objectives of the policy in force, from kept readings and from one made now, which is not kept. Formats: text, json, html (one page that loads nothing else). ${exitCodeHelp}`,
		examples: [
			['As text', '$0 burn'],
			['As a page', '$0 burn --format html --out burn.html'],
			['From kept readings alone', '$0 burn --kept'],
			['From a file of rows in place of the object store', '$0 burn --rows rows.jsonl'],
		],
	});

	format = Option.String('--format', 'text', {description: 'text, json or html'});
	out = Option.String('--out', {description: 'File to write; else standard output'});
	kept = Option.Boolean('--kept', false, {description: 'Ask no daemon; use kept readings alone'});
	rows = Option.String('--rows', {description: 'File of kept rows as JSON lines'});

	protected override async run() {
		const {writeReport} = await import('./report-actions.ts');
		return writeReport(this.settingsFile, {
			format: this.json ? 'json' : this.format,
			outputFile: this.out,
			source: this.kept ? 'kept' : 'live',
			rowsFile: this.rows,
		});
	}
}

export class CollectCommand extends OperatorCommand {
	static override paths = [['collect']];
	static override usage = Command.Usage({
		description: 'read the counters of all daemons and keep them',
		details: `Reads the counters every [burn] interval_seconds until it is interrupted, or once with --once. Only one collector may run with the same [burn] collector name. A reading that fails is reported and leaves a gap. ${exitCodeHelp}`,
		examples: [
			['Until interrupted', '$0 collect'],
			['Once, from a job', '$0 collect --once'],
		],
	});

	once = Option.Boolean('--once', false, {description: 'Read once and end'});

	protected override async run() {
		const {collectOnce, collectUntilInterrupted} = await import('./report-actions.ts');
		return this.once
			? collectOnce(this.settingsFile)
			: collectUntilInterrupted(this.settingsFile, this.context.stderr);
	}
}

export const reportProgram: CliProgram = {
	binaryName: 'primrosevalve-report',
	binaryLabel: 'primrosevalve service-level report',
	commands: [ReportCommand, CollectCommand],
};
