/** Writes the announcement of this instance to its row in the shared table, with retries. */
import {type Logger} from '../../reporting/logger.ts';
import {formatFailure, type Row, type SharedTable, type StorePosition} from '../shared-table.ts';
import {type Member} from '../types.ts';
import {decodeMember, encodeMember} from './member-codec.ts';
import {Backoff} from './backoff.ts';
import {comparePositions} from './table-position.ts';

/** Longer than the delays of reads, because peers are told of a change directly. */
const backoffBounds = {firstMs: 150, maxMs: 1500} as const;

export class Announcer {
	/**
	 * @param handleFailure - called when writes begin to fail because the table is unavailable
	 * @example
	 * const announcer = Announcer.create('sidecar-est-a-1', table, logger, announceDirectly);
	 * announcer.announce(member);
	 */
	static create(
		instance: string,
		table: SharedTable,
		logger: Logger,
		handleFailure: () => void,
	): Announcer {
		return new Announcer(instance, table, logger, handleFailure);
	}

	#desired: Member | undefined;
	/** Version of the row as last seen; 0 when there is none. */
	#rowVersion = 0;
	/** Position of the store at which the row was last seen. */
	#position: StorePosition = {era: 0, version: 0};
	#rowText: string | undefined;
	#epoch = 0;
	#isWriting = false;
	readonly #backoff = Backoff.create(backoffBounds, () => Math.random());
	#isRowKnown = false;
	#isClosed = false;
	#isFailing = false;

	private constructor(
		private readonly instance: string,
		private readonly table: SharedTable,
		private readonly logger: Logger,
		private readonly handleFailure: () => void,
	) {}

	get current(): Member | undefined {
		return this.#desired;
	}

	/** Whether an announcement of this instance can stem from it: nobody else gives out later epochs. */
	isOwn({epoch}: Member): boolean {
		return this.#desired === undefined || epoch <= this.#desired.epoch;
	}

	/** Whether the last write failed because the table was unavailable. */
	get isFailing(): boolean {
		return this.#isFailing;
	}

	/**
	 * Raises the epoch above one that an earlier process of this sidecar announced and a peer still has.
	 * Epochs follow the system clock, which may have been set back since.
	 */
	raiseEpoch(epoch: number): void {
		if (this.#desired !== undefined && epoch >= this.#desired.epoch) {
			this.#epoch = Math.max(this.#epoch, epoch) + 1;
			this.#desired = {...this.#desired, epoch: this.#epoch};
			void this.#write();
		}
	}

	/** Announces a change of the member and assigns its epoch. */
	announce(member: Omit<Member, 'epoch'>): Member {
		this.#epoch = Math.max(this.#epoch + 1, Date.now());
		this.#desired = {...member, epoch: this.#epoch};
		void this.#write();
		return this.#desired;
	}

	/**
	 * Records the row of this instance as read from the table; undefined when there is none.
	 *
	 * @param position - position of the read; an earlier one than that of the known row changes nothing
	 */
	recordRow(row: Row | undefined, position: StorePosition): void {
		if (comparePositions(position, this.#position) < 0) {
			return;
		}

		this.#isRowKnown = true;
		this.#position = position;
		this.#rowVersion = row?.value === undefined ? 0 : row.version;
		this.#rowText = row?.value;
		const stored = row?.value === undefined ? undefined : decodeMember(row.value);
		this.#epoch = Math.max(this.#epoch, stored?.epoch ?? 0);
		void this.#write();
	}

	/** Stops all further writes. */
	close(): void {
		this.#isClosed = true;
	}

	async #write(): Promise<void> {
		const desired = this.#desired;
		if (this.#isWriting || this.#isClosed || desired === undefined || !this.#isRowKnown) {
			return;
		}

		const text = encodeMember(desired);
		if (text === this.#rowText) {
			return;
		}

		this.#isWriting = true;
		const result = await this.table.writeRow('members', this.instance, text, this.#rowVersion);
		this.#isWriting = false;
		if (this.#isClosed) {
			return;
		}

		if (result.isOk()) {
			this.#rowVersion = result.value.version;
			this.#position = result.value;
			this.#rowText = text;
			this.#backoff.reset();
			this.#isFailing = false;
			void this.#write();
			return;
		}

		const failure = result.error;
		if (failure.kind === 'conflict') {
			this.#rowVersion = failure.version;
			this.#position = {era: failure.era, version: failure.version};
			this.#rowText = undefined;
		}

		const wasFailing = this.#isFailing;
		this.#isFailing = failure.kind === 'unavailable';
		if (this.#isFailing && !wasFailing) {
			this.handleFailure();
		}

		this.logger.warn(
			{reason: formatFailure(failure), state: desired.state, service: desired.service},
			'failed to write the announcement to the shared table',
		);
		setTimeout(() => {
			void this.#write();
		}, this.#backoff.computeNextDelayMs());
	}
}
