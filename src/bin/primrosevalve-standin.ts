#!/usr/bin/env node
/**
 * Runs a stand-in for the platform or for a backend server, for development and tests.
 */
import process from 'node:process';
import {Builtins, Cli, Command, Option} from 'clipanion';
import {BackendStandIn} from '../../stand-ins/backend/backend-stand-in.ts';
import {type BackendOptions} from '../../stand-ins/backend/types.ts';
import {PlatformStandIn} from '../../stand-ins/platform/platform-stand-in.ts';

/** Never resolves; a timer keeps the process running until it is killed. */
async function waitForever(): Promise<number> {
	return new Promise(() => {
		setInterval(() => {
			process.uptime();
		}, 60_000);
	});
}

class PlatformCommand extends Command {
	static override paths = [['platform']];
	static override usage = Command.Usage({
		description: 'Serves the table and the object store in memory.',
		examples: [['On a port that the kernel chooses', 'primrosevalve-standin platform']],
	});

	port = Option.String('--port', '0', {description: 'TCP port; 0 lets the kernel choose'});

	override async execute(): Promise<number> {
		const platform = PlatformStandIn.create();
		const url = await platform.listen(Number(this.port));
		this.context.stdout.write(`${JSON.stringify({url})}\n`);
		return waitForever();
	}
}

class BackendCommand extends Command {
	static override paths = [['backend']];
	static override usage = Command.Usage({
		description: 'Serves routes with slots, service times and child calls.',
		examples: [
			[
				'One route',
				`primrosevalve-standin backend --options '{"server":"s-1","port":0,"slots":10,"maxConnections":100,"seed":1,"routes":[{"method":"GET","path":"/","serviceMs":5}]}'`,
			],
		],
	});

	options = Option.String('--options', {required: true, description: 'Options as JSON'});

	override async execute(): Promise<number> {
		const backend = BackendStandIn.create(JSON.parse(this.options) as BackendOptions);
		const port = await backend.listen();
		this.context.stdout.write(`${JSON.stringify({port})}\n`);
		return waitForever();
	}
}

const cli = Cli.from([PlatformCommand, BackendCommand, Builtins.HelpCommand], {
	binaryName: 'primrosevalve-standin',
	binaryLabel: 'primrosevalve stand-ins',
});
process.exitCode = await cli.run(process.argv.slice(2), Cli.defaultContext);
