/**
 * Command of primrosevalvectl that shows the burn of the service-level objectives.
 */
import {Command, Option} from 'clipanion';
import {exitCodeHelp, OperatorCommand} from './operator-command.ts';

const category = 'Reports';

export class BurnCommand extends OperatorCommand {
	static override paths = [['burn']];
	static override usage = Command.Usage({
		category,
		description: 'show the service-level burn',
		details: `Shows burn rates and the error budget left for each objective of the policy in force, from the readings that "primrosevalve-report collect" keeps and from one made now, which is not kept. A window without readings is shown as "no data". ${exitCodeHelp}`,
		examples: [
			['Now', '$0 burn'],
			['From kept readings alone', '$0 burn --kept'],
		],
	});

	kept = Option.Boolean('--kept', false, {description: 'Ask no daemon; use kept readings alone'});

	protected override async run() {
		const {showBurn} = await import('./burn-actions.ts');
		return showBurn(this.settingsFile, this.kept ? 'kept' : 'live');
	}
}
