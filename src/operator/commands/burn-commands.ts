/**
 * Commands over the service-level burn.
 */
import {Command, Option} from 'clipanion';
import {exitCodeHelp, OperatorCommand} from './operator-command.ts';

const category = 'Reports';

export class BurnCommand extends OperatorCommand {
	static override paths = [['burn']];
	static override usage = Command.Usage({
		category,
		description: 'show the service-level burn',
		details: `Reads the counters of all daemons that can be asked, keeps them in the object store, and shows burn rates and the error budget left for each objective of the policy in force. A window without readings is shown as "no data". ${exitCodeHelp}`,
		examples: [
			['Now', '$0 burn'],
			['From kept readings alone', '$0 burn --no-collect'],
		],
	});

	collect = Option.Boolean('--collect', true, {description: 'Read the counters first'});

	protected override async run() {
		const {showBurn} = await import('./burn-actions.ts');
		return showBurn(this.settingsFile, this.collect ? 'collect' : 'stored');
	}
}
