/**
 * Reads the row of this instance after the store may have been restored: the answer confirms the era, and shows
 * whether the announcement has to be written again.
 */
import {type Row, type SharedTable, type StorePosition} from '../shared-table.ts';
import {Backoff} from './backoff.ts';

const backoffBounds = {firstMs: 150, maxMs: 1500} as const;
/** Spreads the checks of a fleet, which hears of a restore within milliseconds. */
const spreadMs = 700;
/** After a check that found no later era, further hints are left out for this long. */
const restMs = 3000;

export type OwnRowCheckOptions = {
	readonly instance: string;
	readonly table: Pick<SharedTable, 'readRow'>;
	readonly random: () => number;
	handleOwnRow(row: Row | undefined, position: StorePosition): void;
};

export class OwnRowCheck {
	/**
	 * @example
	 * const check = OwnRowCheck.create(options);
	 * check.schedule();
	 */
	static create(options: OwnRowCheckOptions): OwnRowCheck {
		return new OwnRowCheck(options);
	}

	readonly #backoff: Backoff;
	#timer: NodeJS.Timeout | undefined;
	#isReading = false;
	#checkedAtMs = Number.NEGATIVE_INFINITY;

	private constructor(private readonly options: OwnRowCheckOptions) {
		this.#backoff = Backoff.create(backoffBounds, options.random);
	}

	/** Schedules a check; a hint that follows a check closely is left out. */
	schedule(cause: 'restored' | 'hint'): void {
		const isPending = this.#timer !== undefined || this.#isReading;
		const isRecent = cause === 'hint' && performance.now() - this.#checkedAtMs < restMs;
		if (!isPending && !isRecent) {
			this.#wait(this.options.random() * spreadMs);
		}
	}

	stop(): void {
		clearTimeout(this.#timer);
		this.#isReading = true;
	}

	#wait(delayMs: number): void {
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			void this.#read();
		}, delayMs);
		this.#timer.unref();
	}

	async #read(): Promise<void> {
		const {table, instance} = this.options;
		this.#isReading = true;
		const result = await table.readRow('members', instance);
		this.#isReading = false;
		if (result.isErr()) {
			this.#wait(this.#backoff.computeNextDelayMs());
			return;
		}

		this.#backoff.reset();
		this.#checkedAtMs = performance.now();
		this.options.handleOwnRow(result.value.rows[0], result.value);
	}
}
