/**
 * Command and program of primrosevalve-console.
 */
import {Command} from 'clipanion';
import {exitCodeHelp, OperatorCommand} from './operator-command.ts';
import {type CliProgram} from './run-cli.ts';

export class ConsoleCommand extends OperatorCommand {
	static override paths = [Command.Default];
	static override usage = Command.Usage({
		description: 'serve the forms of the policy',
		details: `Serves the forms at [console] address and port, 127.0.0.1:8480 if not set, until it is interrupted. The browser asks for the administration key of [admin] key. ${exitCodeHelp}`,
		examples: [['With the settings in operator.ini', '$0']],
	});

	protected override async run() {
		const {serveConsole} = await import('./console-action.ts');
		return serveConsole(this.settingsFile, this.context.stdout);
	}
}

export const consoleProgram: CliProgram = {
	binaryName: 'primrosevalve-console',
	binaryLabel: 'primrosevalve console',
	commands: [ConsoleCommand],
};
