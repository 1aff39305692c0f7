/**
 * Parses and runs a command line with the exit codes of the operators' tools.
 */
import {Builtins, Cli, type CommandClass} from 'clipanion';
import {exitCodes} from '../errors.ts';

export type CliStreams = {
	readonly stdout: NodeJS.WritableStream & {readonly isTTY?: boolean};
	readonly stderr: NodeJS.WritableStream;
};

/** A program with its name in usage texts and its commands. */
export type CliProgram = {
	readonly binaryName: string;
	readonly binaryLabel: string;
	readonly commands: readonly CommandClass[];
};

/**
 * Runs one command line.
 *
 * @returns the exit code; 2 for an unknown command or option
 * @example
 * process.exitCode = await runCli(program, process.argv.slice(2), process);
 */
export async function runCli(
	program: CliProgram,
	args: readonly string[],
	streams: CliStreams,
): Promise<number> {
	const {binaryName, binaryLabel, commands} = program;
	const enableColors = streams.stdout.isTTY === true;
	const cli = Cli.from([...commands, Builtins.HelpCommand], {
		binaryName,
		binaryLabel,
		enableColors,
	});
	const context = {
		...Cli.defaultContext,
		stdout: streams.stdout as NodeJS.WriteStream,
		stderr: streams.stderr as NodeJS.WriteStream,
	};
	try {
		cli.process([...args], context);
	} catch (error) {
		streams.stderr.write(cli.error(error));
		streams.stderr.write(`See "${binaryName} --help".\n`);
		return exitCodes.usage;
	}

	return cli.run([...args], context);
}
