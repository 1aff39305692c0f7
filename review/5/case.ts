/** A machine is stopped, and clients use connections that they opened before once its sidecar has decided to end. */
import net from 'node:net';
import {setTimeout as wait} from 'node:timers/promises';
import {once} from 'node:events';
import {Deployment, type Machine, routeHost} from '../support/deployment.ts';
import {type Case, type CaseRecord, runCase} from '../support/record.ts';

const rounds = 6;
/** When the clients send, after the signal. */
const sendAtMs = [1280, 1320, 1360, 1400];
const graceMs = 6000;

class StopCase implements Case {
	static create(): StopCase {
		return new StopCase();
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
		const common = {slots: 20, workMs: 400, zone: 'est-a', region: 'qc-est'};
		const machines = await deployment.startMachines([
			{name: 'm1', id: 'i-1', service: 'catalogue', ...common},
			{name: 'm2', id: 'i-2', service: 'atelier', ...common},
		]);
		const violations: string[] = [];
		for (let round = 0; round < rounds; round++) {
			await wait(1000);
			const child = machines[0]!.process!;
			const requests = sendAtMs.map(async (delayMs, index) =>
				sendOrder(record, machines[0]!, `order-${round}-${index}`, delayMs),
			);
			await wait(50);
			if (hasTrouble) {
				record.write('platform', 'SIGTERM to the sidecar of m1');
				child.kill('SIGTERM');
				await Promise.race([once(child, 'exit'), wait(graceMs)]);
				child.kill('SIGKILL');
			}

			for (const outcome of await Promise.all(requests)) {
				const wasBegun = machines[1]!.server.runs.some(({id}) => id === outcome.id);
				if (!outcome.hasAnswer && wasBegun) {
					violations.push(
						`LOST: ${outcome.id} was passed on, and its connection ended without an answer`,
					);
				}
			}

			if (hasTrouble) {
				await deployment.startSidecar(machines[0]!);
				await wait(2500);
			}
		}

		return violations;
	}

	async stop(): Promise<void> {
		await this.#deployment?.stop();
	}
}

/** Opens a connection, and sends an order over it some time later. */
async function sendOrder(
	record: CaseRecord,
	{ports}: Machine,
	id: string,
	delayMs: number,
): Promise<{readonly id: string; readonly hasAnswer: boolean}> {
	const socket = net.connect({host: '127.0.0.1', port: ports.outbound});
	let received = '';
	socket.setEncoding('latin1');
	socket.on('data', (text: string) => {
		received += text;
	});
	socket.on('error', error => {
		record.write('client', `${id}: ${error.message}`);
	});
	const closed = once(socket, 'close').catch(() => undefined);
	await wait(delayMs + 50);
	record.write('client', `sends POST /atelier/order ${id} on an open connection`);
	socket.write(
		`POST /atelier/order HTTP/1.1\r\nHost: ${routeHost}\r\nX-Attempt-Id: ${id}\r\nX-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody`,
	);
	await Promise.race([closed, wait(5500), waitForAnswer()]);
	const hasAnswer = isWhole(received);
	record.write(
		'client',
		`${id}: ${hasAnswer ? received.slice(0, 12) : 'connection closed without an answer'}`,
	);
	socket.destroy();
	return {id, hasAnswer};

	async function waitForAnswer(): Promise<void> {
		while (!isWhole(received) && !socket.destroyed) {
			await wait(20);
		}
	}
}

function isWhole(received: string): boolean {
	const [head, body = ''] = received.split('\r\n\r\n', 2) as [string, string | undefined];
	const length = /content-length: (\d+)/iv.exec(head)?.[1];
	return length !== undefined && body.length >= Number(length);
}

await runCase('review/5', StopCase.create());
