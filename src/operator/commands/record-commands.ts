/**
 * Command that verifies the audit record of which policy version was in force on which daemon.
 */
import {Command} from 'clipanion';
import {exitCodeHelp, OperatorCommand} from './operator-command.ts';

export class RecordVerifyCommand extends OperatorCommand {
	static override paths = [['record', 'verify']];
	static override usage = Command.Usage({
		category: 'Reports',
		description: 'verify the record of the policies in force',
		details: `Reads the batches that daemons keep in the object store and verifies that no batch is missing or changed, that no daemon went back to an older version, and that each version matches the configuration's history. Fails on any finding, including entries that daemons report as lost. ${exitCodeHelp}`,
		examples: [
			['The whole record', '$0 record verify'],
			['For a program', '$0 record verify --json'],
		],
	});

	protected override async run() {
		const {verifyWholeRecord} = await import('./record-actions.ts');
		return verifyWholeRecord(this.settingsFile);
	}
}
