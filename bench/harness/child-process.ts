/**
 * Processes that the bench starts and ends by their id.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

export type ChildOptions = {
	/** Executable file; its first line names the interpreter and its options. */
	readonly script: string;
	readonly args: readonly string[];
};

/** JSON lines that a process writes on standard output. */
export type JsonLine = Readonly<Record<string, unknown>>;

const maxKeptLines = 400;

/** One process and the JSON lines that it writes. */
export class BenchProcess {
	/**
	 * @example
	 * const child = BenchProcess.start({script: 'dist/bin/primrosevalve-standin.js', args: ['platform']});
	 */
	static start(options: ChildOptions): BenchProcess {
		const child = spawn(options.script, [...options.args], {stdio: ['ignore', 'pipe', 'inherit']});
		return new BenchProcess(child);
	}

	/** Latest JSON lines of the process. */
	readonly lines: JsonLine[] = [];
	#waiters: Array<() => void> = [];

	private constructor(readonly child: ChildProcess) {
		if (child.stdout === null) {
			return;
		}

		createInterface({input: child.stdout}).on('line', line => {
			this.#receiveLine(line);
		});
		child.once('exit', () => {
			this.#wakeWaiters();
		});
	}

	get pid(): number {
		return this.child.pid ?? 0;
	}

	get hasExited(): boolean {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	/** Waits for the first line that matches; fails when the process ends before. */
	async waitForLine(isMatch: (line: JsonLine) => boolean): Promise<JsonLine> {
		for (;;) {
			const found = this.lines.find(line => isMatch(line));
			if (found !== undefined) {
				return found;
			}

			if (this.hasExited) {
				throw new Error(`process ${this.pid} ended before the line that was waited for`);
			}

			await new Promise<void>(resolve => {
				this.#waiters.push(resolve);
			});
		}
	}

	/** Sends a signal to this process only. */
	kill(signal: NodeJS.Signals): void {
		this.child.kill(signal);
	}

	/** Resolves with the exit code once the process has ended. */
	async waitForExit(): Promise<number | undefined> {
		if (!this.hasExited) {
			await once(this.child, 'exit');
		}

		return this.child.exitCode ?? undefined;
	}

	#receiveLine(line: string): void {
		if (!line.startsWith('{')) {
			return;
		}

		this.lines.push(JSON.parse(line) as JsonLine);
		if (this.lines.length > maxKeptLines) {
			this.lines.splice(0, this.lines.length - maxKeptLines);
		}

		this.#wakeWaiters();
	}

	#wakeWaiters(): void {
		const waiters = this.#waiters;
		this.#waiters = [];
		for (const wake of waiters) {
			wake();
		}
	}
}
