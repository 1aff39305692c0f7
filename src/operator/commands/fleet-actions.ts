/**
 * Actions of the commands that show the running daemons.
 */
import {err, ok} from 'neverthrow';
import {importance, type GuardReport} from '../../call/types.ts';
import {type Member} from '../../membership/types.ts';
import {type DaemonAnswer} from '../admin/admin-client.ts';
import {type AdminStatus} from '../admin/types.ts';
import {formatTable} from '../format-table.ts';
import {createOperatorContext} from '../operator-context.ts';
import {type CommandResult} from './operator-command.ts';

const unknownCell = '-';

/** A member and the status that its daemon reports, if it answered. */
type ServerStatus = {
	readonly member: Member;
	readonly status: AdminStatus | undefined;
};

function compareMembers(a: Member, b: Member): number {
	return (
		a.dataCentre.localeCompare(b.dataCentre) ||
		a.service.localeCompare(b.service) ||
		a.server.localeCompare(b.server)
	);
}

function joinStatuses(
	members: readonly Member[],
	answers: ReadonlyArray<DaemonAnswer<AdminStatus>>,
): readonly ServerStatus[] {
	const statuses = new Map<string, AdminStatus>();
	for (const {answer} of answers) {
		if (answer.kind === 'answered') {
			statuses.set(answer.value.guard.server, answer.value);
		}
	}

	return members
		.toSorted(compareMembers)
		.map(member => ({member, status: statuses.get(member.server)}));
}

/** Formats the lowest importance that a guard admits, by name if it has one. */
function formatAdmissionLevel(guard: GuardReport): string {
	for (const [name, level] of Object.entries(importance)) {
		if (level === guard.admissionLevel) {
			return name;
		}
	}

	return String(guard.admissionLevel);
}

function formatStatusRow({member, status}: ServerStatus): readonly string[] {
	const guard = status?.guard;
	return [
		member.dataCentre,
		member.service,
		member.server,
		guard?.state ?? member.state,
		String(status?.policy.version ?? member.policyVersion),
		guard === undefined ? unknownCell : formatAdmissionLevel(guard),
		guard === undefined ? unknownCell : `${guard.slotsInUse}/${guard.slotLimit}`,
		guard === undefined ? unknownCell : String(guard.queued),
	];
}

function formatFailures(answers: ReadonlyArray<DaemonAnswer<unknown>>): string {
	let text = '';
	for (const {answer} of answers) {
		if (answer.kind === 'failed') {
			text += `${answer.detail}\n`;
		}
	}

	return text;
}

/** Formats how many daemons use the newest policy version that any of them has. */
function formatAdoption(statuses: readonly ServerStatus[]): string {
	const versions = statuses.map(
		({member, status}) => status?.policy.version ?? member.policyVersion,
	);
	const newest = Math.max(0, ...versions);
	const adopted = versions.filter(version => version === newest).length;
	return `version ${newest} is in force on ${adopted} of ${versions.length} daemons\n`;
}

/**
 * Shows the members by data centre with policy version, admission level and slots.
 *
 * @example
 * const result = await showStatus('operator.ini');
 */
export async function showStatus(settingsFile: string): Promise<CommandResult> {
	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const {admin} = context.value;
	const members = await admin.readMembers();
	if (members.isErr()) {
		return err(members.error);
	}

	const answers = await admin.readStatuses(members.value);
	const statuses = joinStatuses(members.value, answers);
	const header = [
		'data centre',
		'service',
		'server',
		'state',
		'version',
		'admits',
		'slots',
		'queued',
	];
	const rows = statuses.map(status => formatStatusRow(status));
	const text = formatTable(header, rows) + formatAdoption(statuses) + formatFailures(answers);
	return ok({text, data: {daemons: statuses, unanswered: listUnanswered(answers)}});
}

function listUnanswered(answers: ReadonlyArray<DaemonAnswer<unknown>>): readonly string[] {
	return answers.filter(({answer}) => answer.kind === 'failed').map(({url}) => url);
}

/**
 * Lists the backend servers in the member table of the first daemon that answers.
 *
 * @example
 * const result = await listServers('operator.ini', 'commandes');
 */
export async function listServers(
	settingsFile: string,
	service: string | undefined,
): Promise<CommandResult> {
	const context = createOperatorContext(settingsFile);
	if (context.isErr()) {
		return err(context.error);
	}

	const read = await context.value.admin.readMembers();
	return read.map(all => {
		const members = all
			.filter(member => service === undefined || member.service === service)
			.toSorted(compareMembers);
		const rows = members.map(member => [
			member.server,
			member.service,
			member.region,
			member.dataCentre,
			`${member.address}:${member.peerPort}`,
			member.state,
			new Date(member.startedAtMs).toISOString(),
		]);
		const header = [
			'server',
			'service',
			'region',
			'data centre',
			'peer address',
			'state',
			'started at',
		];
		return {text: formatTable(header, rows), data: members};
	});
}
