/** A server crashes, and long uploads that were on their way to it are sent on to another one. */
import {setTimeout as wait} from 'node:timers/promises';
import {createBody, digestBody, sendRequest} from '../support/client.ts';
import {Deployment, type Machine} from '../support/deployment.ts';
import {type Case, type CaseRecord, runCase} from '../support/record.ts';

/** Sizes of the uploads that are sent at a time. */
const bodyBytes = [6, 12, 18].map(megabytes => megabytes * 1024 * 1024);
const rounds = 5;
const crashMs = 3000;
/** One server of seven crashes, which is less than 0.15 of them. */
const farServers = [3, 4, 5, 6, 7, 8];

class UploadCase implements Case {
	static create(): UploadCase {
		return new UploadCase();
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
		const common = {slots: 20, workMs: 20};
		const machines = await deployment.startMachines([
			{name: 'm1', id: 'i-1', service: 'catalogue', zone: 'est-a', region: 'qc-est', ...common},
			{name: 'm2', id: 'i-2', service: 'atelier', zone: 'est-a', region: 'qc-est', ...common},
			...farServers.map(number => ({
				name: `m${number}`,
				id: `i-${number}`,
				service: 'atelier',
				zone: 'ouest-a',
				region: 'qc-ouest',
				...common,
			})),
		]);
		const violations: string[] = [];
		for (let round = 0; round < rounds; round++) {
			if (hasTrouble) {
				await machines[1]!.server.stop();
			}

			const uploads: Array<Promise<string[]>> = [];
			for (const [upload, bytes] of bodyBytes.entries()) {
				const id = `up-${round}-${upload}`;
				const body = createBody(String.fromCodePoint(97 + upload), bytes);
				uploads.push(sendUpload(record, machines, {id, body}));
			}

			for (const found of await Promise.all(uploads)) {
				violations.push(...found);
			}

			await wait(crashMs);
			if (hasTrouble) {
				await machines[1]!.server.start();
				await wait(2500);
			}
		}

		return violations;
	}

	async stop(): Promise<void> {
		await this.#deployment?.stop();
	}
}

/** Sends an upload to the first machine; returns what its servers ran with another body. */
async function sendUpload(
	record: CaseRecord,
	machines: readonly Machine[],
	{id, body}: {readonly id: string; readonly body: Uint8Array},
): Promise<string[]> {
	const sent = digestBody(body);
	record.write('client', `sends POST /atelier/order ${id}: ${body.length} bytes ${sent}`);
	const {outbound: port} = machines[0]!.ports;
	try {
		const answer = await sendRequest({port, path: '/atelier/order', id, method: 'POST', body});
		const signature = String(answer.headers['x-server-signature']);
		record.write('client', `${id} was answered ${answer.status}, signature ${signature}`);
	} catch (error) {
		record.write('client', `${id} got no answer: ${(error as Error).message}`);
	}

	const violations: string[] = [];
	for (const {server} of machines) {
		for (const run of server.runs) {
			if (run.id === id && run.digest !== undefined && run.digest !== sent) {
				violations.push(
					`UNASKED: ${run.server} ran ${id} with a body of ${run.bytes} bytes ${run.digest}, sent were ${body.length} bytes ${sent}`,
				);
			}
		}
	}

	return violations;
}

await runCase('review/2', UploadCase.create());
