/**
 * Child processes of the bench, signalled by process id.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createInterface} from 'node:readline';

export type ChildOptions = {
	/** Path of an executable file with a shebang line. */
	readonly script: string;
	readonly args: readonly string[];
};

/** One line of JSON that a process writes to its standard output. */
export type JsonLine = Readonly<Record<string, unknown>>;

const maxKeptLines = 400;

/** A child process and the latest JSON lines of its standard output. */
export class BenchProcess {
	/**
	 * @example
	 * const child = BenchProcess.start({script: 'dist/bin/primrosevalve-standin.js', args: ['platform']});
	 */
	static start(options: ChildOptions): BenchProcess {
		const child = spawn(options.script, [...options.args], {stdio: ['ignore', 'pipe', 'inherit']});
		return new BenchProcess(child);
	}

	/** The last `maxKeptLines` JSON lines, oldest first. */
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
			this.#notifyWaiters();
		});
	}

	get pid(): number {
		return this.child.pid ?? 0;
	}

	get hasExited(): boolean {
		return this.child.exitCode !== null || this.child.signalCode !== null;
	}

	/**
	 * Waits for the first line that matches, among the lines kept so far or later ones. Rejects if the
	 * process exits first.
	 */
	async waitForLine(isMatch: (line: JsonLine) => boolean): Promise<JsonLine> {
		for (;;) {
			const found = this.lines.find(line => isMatch(line));
			if (found !== undefined) {
				return found;
			}

			if (this.hasExited) {
				throw new Error(`process ${this.pid} exited before it printed the expected JSON line`);
			}

			await new Promise<void>(resolve => {
				this.#waiters.push(resolve);
			});
		}
	}

	/** Sends a signal to this process, not to its process group. */
	kill(signal: NodeJS.Signals): void {
		this.child.kill(signal);
	}

	/**
	 * Waits until the process has exited.
	 *
	 * @returns the exit code, or undefined if a signal ended the process
	 */
	async waitForExit(): Promise<number | undefined> {
		if (!this.hasExited) {
			await once(this.child, 'exit');
		}

		return this.child.exitCode ?? undefined;
	}

	/** Keeps a line if it is a JSON object; other output is ignored. */
	#receiveLine(line: string): void {
		if (!line.startsWith('{')) {
			return;
		}

		this.lines.push(JSON.parse(line) as JsonLine);
		if (this.lines.length > maxKeptLines) {
			this.lines.splice(0, this.lines.length - maxKeptLines);
		}

		this.#notifyWaiters();
	}

	#notifyWaiters(): void {
		const waiters = this.#waiters;
		this.#waiters = [];
		for (const notify of waiters) {
			notify();
		}
	}
}
