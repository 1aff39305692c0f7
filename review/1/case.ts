/** A server rejects a long upload before it is in, and other clients upload while the rest of it is on its way. */
import http from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {createBody, digestBody, sendRequest} from '../support/client.ts';
import {Deployment, type Machine, routeHost} from '../support/deployment.ts';
import {type Case, type CaseRecord, runCase} from '../support/record.ts';

const rounds = 4;
const longBytes = 4 * 1024 * 1024;
const pieceBytes = 64 * 1024;
const pieceGapMs = 8;
/** The server rejects the long upload when so many bytes of it are in. */
const rejectedAfterBytes = 300 * 1024;
const otherBytes = 6 * 1024 * 1024;
const othersPerRound = 5;
/** Common orders in each round: the server spoils no more than 2 in 100 of its answers. */
const smallPerRound = 50;
const smallBytes = 1200;

class EarlyAnswerCase implements Case {
	static create(): EarlyAnswerCase {
		return new EarlyAnswerCase();
	}

	#deployment: Deployment | undefined;

	private constructor() {
		// Instances are created with `create`.
	}

	async run(record: CaseRecord, hasTrouble: boolean): Promise<string[]> {
		const deployment = await Deployment.start(record, [
			{service: 'catalogue', type: 'idempotent'},
			{service: 'atelier', type: 'non_idempotent'},
		]);
		this.#deployment = deployment;
		const common = {slots: 20, workMs: 5, zone: 'est-a', region: 'qc-est'};
		const machines = await deployment.startMachines([
			{name: 'm1', id: 'i-1', service: 'catalogue', ...common},
			{name: 'm2', id: 'i-2', service: 'atelier', ...common},
			{name: 'm3', id: 'i-3', service: 'atelier', ...common, zone: 'ouest-a', region: 'qc-ouest'},
		]);
		const {server} = machines[1]!;
		if (hasTrouble) {
			server.bodyPlan = {kind: 'early', afterBytes: rejectedAfterBytes};
		}

		const sent = new Map<string, string>();
		for (let round = 0; round < rounds; round++) {
			for (let index = 0; index < smallPerRound; index++) {
				const id = `small-${round}-${index}`;
				await sendOther(record, machines[0]!, {id, bytes: smallBytes, sent});
			}

			const long = sendLongUpload(record, machines[0]!, `long-${round}`);
			await wait(100);
			for (let index = 0; index < othersPerRound; index++) {
				await sendOther(record, machines[0]!, {
					id: `other-${round}-${index}`,
					bytes: otherBytes,
					sent,
				});
			}

			await long;
		}

		record.write('i-2', `${server.answerCount} answers, ${server.faultCount} of them early`);
		const violations: string[] = [];
		for (const run of server.runs) {
			const digest = sent.get(run.id);
			if (digest !== undefined && run.digest !== undefined && run.digest !== digest) {
				const letters = [...run.letters].map(([letter, count]) => `${count} ${letter}`).join(', ');
				violations.push(
					`UNASKED: ${run.server} ran ${run.id} with a body of ${letters}, but its client sent no x`,
				);
			}
		}

		return violations;
	}

	async stop(): Promise<void> {
		await this.#deployment?.stop();
	}
}

/** Sends a long upload in pieces, all of it, whenever it is answered. */
async function sendLongUpload(record: CaseRecord, {ports}: Machine, id: string): Promise<void> {
	record.write('client 1', `sends POST /atelier/early ${id}: ${longBytes} bytes of x`);
	const request = http.request({
		host: '127.0.0.1',
		port: ports.outbound,
		path: '/atelier/early',
		method: 'POST',
		agent: false,
		headers: {
			host: routeHost,
			'x-attempt-id': id,
			'x-deadline-ms': 5000,
			'content-length': longBytes,
			connection: 'keep-alive',
		},
	});
	request.on('response', response => {
		record.write('client 1', `${id} was answered ${response.statusCode}`);
		response.resume();
	});
	request.on('error', error => {
		record.write('client 1', `${id}: ${error.message}`);
	});
	for (let bytes = 0; bytes < longBytes && !request.destroyed; bytes += pieceBytes) {
		request.write(createBody('x', pieceBytes));
		await wait(pieceGapMs);
	}

	request.end();
	record.write('client 1', `has sent all of ${id}`);
}

async function sendOther(
	record: CaseRecord,
	{ports}: Machine,
	{
		id,
		bytes,
		sent,
	}: {readonly id: string; readonly bytes: number; readonly sent: Map<string, string>},
): Promise<void> {
	const body = createBody('o', bytes);
	sent.set(id, digestBody(body));
	record.write('client 2', `sends POST /atelier/order ${id}: ${bytes} bytes of o`);
	try {
		const port = ports.outbound;
		const answer = await sendRequest({port, path: '/atelier/order', id, method: 'POST', body});
		const signature = String(answer.headers['x-server-signature']);
		record.write('client 2', `${id} was answered ${answer.status}, signature ${signature}`);
	} catch (error) {
		record.write('client 2', `${id} got no answer: ${(error as Error).message}`);
	}
}

await runCase('review/1', EarlyAnswerCase.create());
