/**
 * Commands that show and drain the running daemons.
 */
import {Command, Option} from 'clipanion';
import {exitCodeHelp, OperatorCommand} from './operator-command.ts';

const category = 'Daemons';

export class StatusCommand extends OperatorCommand {
	static override paths = [['status']];
	static override usage = Command.Usage({
		category,
		description: 'show the daemons by data centre',
		details: `Shows each daemon's state, policy version, admission level and slots. Daemons whose administration port is not known (see [admin] port) are shown with the data of the member table only. ${exitCodeHelp}`,
		examples: [
			['All daemons', '$0 status'],
			['For a program', '$0 status --json'],
		],
	});

	protected override async run() {
		const {showStatus} = await import('./fleet-actions.ts');
		return showStatus(this.settingsFile);
	}
}

export class ServersCommand extends OperatorCommand {
	static override paths = [['servers']];
	static override usage = Command.Usage({
		category,
		description: 'list the backend servers',
		details: `Lists the backend servers in the member table of the first daemon that answers. ${exitCodeHelp}`,
		examples: [
			['All servers', '$0 servers'],
			['Servers of one service', '$0 servers --service commandes'],
		],
	});

	service = Option.String('--service', {description: 'Only servers of this service'});

	protected override async run() {
		const {listServers} = await import('./fleet-actions.ts');
		return listServers(this.settingsFile, this.service);
	}
}

export class DrainCommand extends OperatorCommand {
	static override paths = [['drain']];
	static override usage = Command.Usage({
		category,
		description: 'take a backend server out of service',
		details: `Announces the server as leaving, lets the work in flight end, and stops its daemon. Waits until the daemon has stopped. ${exitCodeHelp}`,
		examples: [
			['Drain one server', '$0 drain commandes-est-a'],
			['Wait up to five minutes', '$0 drain commandes-est-a --wait 300'],
		],
	});

	server = Option.String({name: 'SERVER'});
	wait = Option.String('--wait', '60', {description: 'Longest time to wait, in seconds'});

	protected override async run() {
		const {drainServer} = await import('./drain-action.ts');
		return drainServer(this.settingsFile, this.server, this.wait);
	}
}
