/** A server reads long uploads slowly, and the sidecar beside it holds them until it is killed for its memory. */
import {readFileSync} from 'node:fs';
import http from 'node:http';
import {setTimeout as wait} from 'node:timers/promises';
import {createBody, sendRequest} from '../support/client.ts';
import {Deployment, type Machine, routeHost} from '../support/deployment.ts';
import {type Case, type CaseRecord, runCase} from '../support/record.ts';

/** `memory_mb` of the settings: a process that exceeds it is killed. */
const memoryMb = 350;
const memoryCheckMs = 50;
const uploadBytes = 16 * 1024 * 1024;
const pieceBytes = 256 * 1024;
const pieceGapMs = 12;
const slowBytesPerSecond = 1024 * 1024;
const uploadersPerMachine = 2;
const readers = 8;
const lengthMs = 20_000;
/** More requests than this may not be lost. */
const maxLost = 3;

type Progress = {isOver: boolean; mostMb: number; wasKilled: boolean};

class MemoryCase implements Case {
	static create(): MemoryCase {
		return new MemoryCase();
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
		const common = {slots: 112, workMs: 300, zone: 'est-a', region: 'qc-est'};
		const machines = await deployment.startMachines([
			{name: 'm1', id: 'i-1', service: 'catalogue', ...common},
			{name: 'm2', id: 'i-2', service: 'catalogue', ...common},
			{name: 'm3', id: 'i-3', service: 'atelier', ...common},
		]);
		const loaded = machines[2]!;
		loaded.server.hasDigests = false;
		if (hasTrouble) {
			loaded.server.bodyPlan = {kind: 'slow', bytesPerSecond: slowBytesPerSecond};
		}

		const progress: Progress = {isOver: false, mostMb: 0, wasKilled: false};
		const limiter = setInterval(() => {
			limitMemory(record, loaded, progress);
		}, memoryCheckMs);
		const lost: string[] = [];
		const work: Array<Promise<void>> = [];
		for (let index = 0; index < readers; index++) {
			work.push(sendReads(record, {machines, progress, lost, name: `read-${index}`}));
		}

		for (const machine of machines.slice(0, 2)) {
			for (let index = 0; index < uploadersPerMachine; index++) {
				work.push(sendUploads(record, machine, progress, `up-${machine.plan.name}-${index}`));
			}
		}

		const endAtMs = performance.now() + lengthMs;
		while (performance.now() < endAtMs && !progress.wasKilled) {
			await wait(100);
		}

		progress.isOver = true;
		await Promise.race([Promise.all(work), wait(6000)]);
		clearInterval(limiter);
		record.write('platform', `m3 used ${progress.mostMb.toFixed(0)} MB at most`);
		return lost.length > maxLost ? lost : [];
	}

	async stop(): Promise<void> {
		await this.#deployment?.stop();
	}
}

/** Kills the process of a machine, as the platform does, if it uses more memory than it may. */
function limitMemory(record: CaseRecord, machine: Machine, progress: Progress): void {
	const {process: child, plan} = machine;
	if (child === undefined || progress.wasKilled) {
		return;
	}

	const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
	const usedMb = Number(/VmRSS:\s+(\d+)/v.exec(status)?.[1] ?? 0) / 1024;
	if (usedMb > progress.mostMb + 20) {
		record.write('platform', `${plan.name} uses ${usedMb.toFixed(0)} MB`);
		progress.mostMb = usedMb;
	}

	if (usedMb > memoryMb) {
		record.write('platform', `${plan.name} uses more than ${memoryMb} MB and is killed`);
		progress.wasKilled = true;
		child.kill('SIGKILL');
	}
}

/** Sends uploads one after the other, each with the speed of a common connection. */
async function sendUploads(
	record: CaseRecord,
	{ports}: Machine,
	progress: Progress,
	name: string,
): Promise<void> {
	for (let index = 0; !progress.isOver; index++) {
		const id = `${name}-${index}`;
		record.write('client', `sends POST /atelier/order ${id}: ${uploadBytes} bytes`);
		const outcome = await sendUpload(ports.outbound, id);
		record.write('client', `${id}: ${outcome}`);
	}
}

async function sendUpload(port: number, id: string): Promise<string> {
	const request = http.request({
		host: '127.0.0.1',
		port,
		path: '/atelier/order',
		method: 'POST',
		agent: false,
		headers: {
			host: routeHost,
			'x-attempt-id': id,
			'x-deadline-ms': 5000,
			'content-length': uploadBytes,
		},
	});
	const sending = {isOver: false};
	const outcome = new Promise<string>(resolve => {
		const finish = (text: string) => {
			sending.isOver = true;
			resolve(text);
		};

		request.on('response', response => {
			response.resume();
			finish(`answered ${response.statusCode}`);
		});
		request.on('error', error => {
			finish(error.message);
		});
	});
	for (let bytes = 0; bytes < uploadBytes && !sending.isOver; bytes += pieceBytes) {
		request.write(createBody('u', pieceBytes));
		await wait(pieceGapMs);
	}

	request.end();
	const text = await outcome;
	request.destroy();
	return text;
}

/** Sends requests over one connection that is kept, from the loaded machine to sound servers of another service. */
async function sendReads(
	record: CaseRecord,
	{
		machines,
		progress,
		lost,
		name,
	}: {
		readonly machines: readonly Machine[];
		readonly progress: Progress;
		readonly lost: string[];
		readonly name: string;
	},
): Promise<void> {
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	for (let index = 0; !progress.isOver; index++) {
		const id = `${name}-${index}`;
		try {
			const port = machines[2]!.ports.outbound;
			await sendRequest({port, path: '/catalogue/sheet', id, agent});
		} catch (error) {
			record.write('client at m3', `${id}: ${(error as Error).message}`);
			const run = machines.flatMap(({server}) => server.runs).find(each => each.id === id);
			if (index > 0 && run !== undefined) {
				lost.push(`LOST: ${id} on a kept connection was passed on to ${run.server}, no answer`);
			}

			break;
		}
	}

	agent.destroy();
}

await runCase('review/5', MemoryCase.create());
