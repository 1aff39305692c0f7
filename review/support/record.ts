/** Runs a case and keeps its record: what was sent, answered and run. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';

/** A case ends by itself before the users' limit of 120 s. */
const maxRunMs = 110_000;
/** Exit codes of a case. */
const exitCodes = {held: 0, broken: 1, notRun: 2} as const;

export class CaseRecord {
	static create(file: string): CaseRecord {
		return new CaseRecord(file);
	}

	readonly #startedAtMs = performance.now();
	readonly #lines: string[] = [];

	private constructor(private readonly file: string) {}

	/** Adds a line, with the seconds since the start. */
	write(who: string, text: string): void {
		const seconds = ((performance.now() - this.#startedAtMs) / 1000).toFixed(3);
		this.#lines.push(`${seconds} ${who}: ${text}`);
	}

	save(): void {
		writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
	}
}

/** A case: `run` returns the violations that it has seen, and `stop` ends all that it started. */
export type Case = {
	run(record: CaseRecord, hasTrouble: boolean): Promise<string[]>;
	stop(): Promise<void>;
};

/** Runs a case and ends this process: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export async function runCase(folder: string, each: Case): Promise<void> {
	const hasTrouble = process.env.TROUBLE !== '0';
	const record = CaseRecord.create(`${folder}/record.txt`);
	record.write('case', hasTrouble ? 'with the disruption' : 'without the disruption');
	const finish = async (code: number, text: string) => {
		record.write('case', text);
		try {
			await each.stop();
		} finally {
			record.save();
			process.stdout.write(`${folder}: ${text}\n`);
			// Clients of the case may still wait for answers.
			process.exit(code); // eslint-disable-line unicorn/no-process-exit
		}
	};

	const abandon = (reason: string) => {
		void finish(exitCodes.notRun, `not run: ${reason}`);
	};

	process.on('uncaughtException', error => {
		abandon(error.stack ?? error.message);
	});
	process.on('SIGTERM', () => {
		abandon('stopped');
	});
	process.on('SIGINT', () => {
		abandon('stopped');
	});
	setTimeout(() => {
		abandon('out of time');
	}, maxRunMs).unref();
	try {
		const violations = await each.run(record, hasTrouble);
		for (const violation of violations) {
			record.write('broken', violation);
		}

		await (violations.length === 0
			? finish(exitCodes.held, 'the rule held')
			: finish(exitCodes.broken, `the rule was broken ${violations.length} times`));
	} catch (error) {
		await finish(exitCodes.notRun, `not run: ${(error as Error).stack}`);
	}
}
