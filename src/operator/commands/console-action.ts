/**
 * Action of the console command: serves the policy forms over HTTP.
 */
import {once} from 'node:events';
import process from 'node:process';
import {err, ok} from 'neverthrow';
import {OperatorError} from '../errors.ts';
import {ConsoleServer} from '../forms/console-server.ts';
import {createOperatorContext} from '../operator-context.ts';
import {type CommandResult} from './operator-command.ts';

/**
 * Serves the console until SIGINT or SIGTERM.
 *
 * @param out - stream for the URL of the console
 * @example
 * const result = await serveConsole('operator.ini', process.stdout);
 */
export async function serveConsole(
	settingsFile: string,
	out: {write(text: string): unknown},
): Promise<CommandResult> {
	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const {settings, policies} = context.value;
	const {address, port} = settings.console;
	let server: ConsoleServer;
	try {
		server = await ConsoleServer.open({
			store: policies,
			key: settings.admin.key,
			address,
			port,
			readTimeMs: () => Date.now(),
		});
	} catch (error) {
		const message = `can't listen on ${address}:${port}: ${(error as Error).message}`;
		return err(OperatorError.create('failed', message, 'Set another [console] port.'));
	}

	out.write(`open ${server.url} in a browser; end with Ctrl-C\n`);
	await Promise.race([once(process, 'SIGINT'), once(process, 'SIGTERM')]);
	await server.close();
	return ok({text: 'console has stopped\n', data: {stopped: true}});
}
