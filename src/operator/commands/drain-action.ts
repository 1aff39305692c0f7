/**
 * Action of the drain command.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {type AdminClient} from '../admin/admin-client.ts';
import {OperatorError} from '../errors.ts';
import {createOperatorContext} from '../operator-context.ts';
import {type CommandResult} from './operator-command.ts';

const pollIntervalMs = 250;
const maxWaitSeconds = 3600;

/** Finds the administration URL of a server's daemon by reading the status of all daemons. */
async function findDaemonUrl(
	admin: AdminClient,
	server: string,
): Promise<Result<string, OperatorError>> {
	const members = await admin.readMembers();
	if (members.isErr()) {
		return err(members.error);
	}

	const answers = await admin.readStatuses(members.value);
	for (const {url, answer} of answers) {
		if (answer.kind === 'answered' && answer.value.guard.server === server) {
			return ok(url);
		}
	}

	const isMember = members.value.some(member => member.server === server);
	return err(
		isMember
			? OperatorError.create(
					'failed',
					`the daemon of "${server}" can't be reached through its administration port`,
					'Add its address to [admin] urls or set [admin] port.',
				)
			: OperatorError.create(
					'failed',
					`there is no server named "${server}"`,
					'List the servers with "servers".',
				),
	);
}

function parseWaitMs(text: string): Result<number, OperatorError> {
	const seconds = /^\d{1,4}$/v.test(text) ? Number(text) : Number.NaN;
	return seconds <= maxWaitSeconds
		? ok(seconds * 1000)
		: err(
				OperatorError.create(
					'usage',
					`--wait "${text}" is not a number of seconds`,
					`Give a whole number up to ${maxWaitSeconds}.`,
				),
			);
}

/** Polls a daemon until it stops answering; resolves to false if it still answers after `waitMs`. */
async function waitForStop(admin: AdminClient, url: string, waitMs: number): Promise<boolean> {
	const startedAtMs = performance.now();
	while (performance.now() - startedAtMs < waitMs) {
		if (!(await admin.isAnswering(url))) {
			return true;
		}

		await wait(pollIntervalMs);
	}

	return false;
}

/**
 * Drains a server and waits until its daemon has stopped.
 *
 * @param waitSeconds - longest time to wait for the stop, as given on the command line
 * @example
 * const result = await drainServer('operator.ini', 'commandes-1', '60');
 */
export async function drainServer(
	settingsFile: string,
	server: string,
	waitSeconds: string,
): Promise<CommandResult> {
	const waitMs = parseWaitMs(waitSeconds);
	if (waitMs.isErr()) {
		return err(waitMs.error);
	}

	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const {admin} = context.value;
	const url = await findDaemonUrl(admin, server);
	if (url.isErr()) {
		return err(url.error);
	}

	const drained = await admin.drain(url.value);
	if (drained.isErr()) {
		return err(drained.error);
	}

	return (await waitForStop(admin, url.value, waitMs.value))
		? ok({
				text: `"${server}" has left; its work in flight has ended\n`,
				data: {server, stopped: true},
			})
		: err(
				OperatorError.create(
					'failed',
					`"${server}" is leaving and gets no new work, but still has work in flight after ${waitSeconds} s`,
					'Run the same command again with a longer --wait; "status" shows its slots in use.',
				),
			);
}
