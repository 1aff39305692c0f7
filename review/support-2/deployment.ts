/** A small deployment: the platform's store with a configuration, sidecars, and how a case ends. */
import {rmSync} from 'node:fs';
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {RowStoreStandIn} from '../../platform/testing/row-store-stand-in.ts';
import {CaseRecord} from './record.ts';
import {SidecarProcess} from './sidecar.ts';

export const hostName = 'hulo84.example';

/** Exit codes of a case. */
const exitCodes = {held: 0, broken: 1, failed: 2} as const;
export type Verdict = 'held' | 'broken';

export type RoutePlan = {
	readonly name: string;
	readonly type: 'idempotent' | 'non_idempotent' | 'download';
	readonly service: string;
	readonly timeoutS: number;
};

export class Deployment {
	/** Resources are released by `stop`. */
	static async start(record: CaseRecord): Promise<Deployment> {
		const folder = await mkdtemp(path.join(tmpdir(), 'primrosevalve-review-'));
		return new Deployment(record, await RowStoreStandIn.start(), folder);
	}

	readonly sidecars: SidecarProcess[] = [];
	/** Parts of the rules that the settings name beside those of the smallest site. */
	furtherContracts: readonly string[] = [];
	readonly #closers: Array<() => void> = [];

	private constructor(
		readonly record: CaseRecord,
		readonly store: RowStoreStandIn,
		readonly folder: string,
	) {}

	/** Whether the disruption of the case is played. */
	get hasTrouble(): boolean {
		return process.env.TROUBLE !== '0';
	}

	/** Writes a version of the configuration, with one route a name at `/NAME/`. */
	writeConfig(version: number, services: readonly string[], routes: readonly RoutePlan[]): void {
		const config = {
			version,
			routes: routes.map(({name, type, service, timeoutS}) => ({
				name,
				hostname: hostName,
				prefix: `/${name}/`,
				type,
				timeout_s: timeoutS,
				target_latency_s: 1.5,
				priority: 0,
				service,
				max_attempts: 2,
			})),
			services: services.map(name => ({
				name,
				health_check_path: '/health',
				max_connections: 256,
				protocol: 'h1',
				tls: false,
			})),
			limits: {
				max_header_bytes: 16_384,
				max_body_bytes: 67_108_864,
				header_timeout_s: 3,
				idle_timeout_s: 15,
			},
		};
		this.store.writeRow('op', 'config', JSON.stringify(config));
		this.record.add(`operator: wrote configuration ${version}`);
	}

	/** Creates the sidecar of a machine, which is started by its own `start`. */
	async createSidecar(name: string, service: string): Promise<SidecarProcess> {
		const {folder, record, furtherContracts} = this;
		const storePort = this.store.address.port;
		const sidecar = await SidecarProcess.create({
			name,
			service,
			folder,
			storePort,
			record,
			furtherContracts,
		});
		this.sidecars.push(sidecar);
		return sidecar;
	}

	/** Registers what is to be closed at the end. */
	onStop(close: () => void): void {
		this.#closers.push(close);
	}

	/** Ends all processes at once and removes their files, when the case itself is ended by a signal. */
	endNow(): void {
		for (const sidecar of this.sidecars) {
			sidecar.endNow();
		}

		rmSync(this.folder, {recursive: true, force: true});
	}

	async stop(): Promise<void> {
		for (const close of this.#closers) {
			close();
		}

		for (const sidecar of this.sidecars) {
			await sidecar.kill();
		}

		await this.store.stop();
		await rm(this.folder, {recursive: true});
	}
}

/** Plays a case, writes its record, and sets the exit code for its verdict. */
export async function playCase(
	recordFile: string,
	play: (deployment: Deployment) => Promise<Verdict>,
): Promise<void> {
	const record = CaseRecord.create(recordFile);
	const deployment = await Deployment.start(record);
	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			deployment.endNow();
			process.exit(exitCodes.failed);
		});
	}

	let exitCode: number = exitCodes.failed;
	try {
		const verdict = await play(deployment);
		exitCode = exitCodes[verdict];
		record.print(verdict === 'held' ? 'the rule held' : 'THE RULE WAS BROKEN');
	} catch (error) {
		record.print(`the case could not run: ${(error as Error).stack}`);
	}

	await deployment.stop();
	await record.close();
	process.exitCode = exitCode;
}
