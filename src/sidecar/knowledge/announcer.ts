/** Keeps the own row in the shared table equal to what the sidecar wants to announce. */
import {type Logger} from '../../reporting/logger.ts';
import {formatFailure, type Row, type SharedTable} from '../ports.ts';
import {type Member} from '../types.ts';
import {decodeMember, encodeMember} from './member-codec.ts';
import {RetryPause} from './retry-pause.ts';

/** Longer than those of the reads, since peers hear of the change directly. */
const retryBounds = {firstMs: 150, maxMs: 1500} as const;

export class Announcer {
	/**
	 * @param handleFailure - hears that the table did not take an announcement
	 * @example
	 * const announcer = Announcer.create('sidecar-est-a-1', table, logger, tellPeers);
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

	#wanted: Member | undefined;
	/** Version of the own row as last seen; 0 when there is none. */
	#rowVersion = 0;
	#rowText: string | undefined;
	#epoch = 0;
	#isWriting = false;
	readonly #pause = RetryPause.create(retryBounds, () => Math.random());
	#isKnown = false;
	#isClosed = false;
	#isFailing = false;

	private constructor(
		private readonly instance: string,
		private readonly table: SharedTable,
		private readonly logger: Logger,
		private readonly handleFailure: () => void,
	) {}

	get current(): Member | undefined {
		return this.#wanted;
	}

	/** Whether the table did not take the last write. */
	get isFailing(): boolean {
		return this.#isFailing;
	}

	/**
	 * Raises the epoch over one that a peer knows of an earlier life of this sidecar; the time of day may
	 * have been set back since.
	 */
	raise(epoch: number): void {
		if (this.#wanted !== undefined && epoch >= this.#wanted.epoch) {
			this.#epoch = Math.max(this.#epoch, epoch) + 1;
			this.#wanted = {...this.#wanted, epoch: this.#epoch};
			void this.#write();
		}
	}

	/** Announces a change of the member; the epoch is set here. */
	announce(member: Omit<Member, 'epoch'>): Member {
		this.#epoch = Math.max(this.#epoch + 1, Date.now());
		this.#wanted = {...member, epoch: this.#epoch};
		void this.#write();
		return this.#wanted;
	}

	/** Takes the own row as the table has it; undefined when there is none. */
	recordRow(row: Row | undefined): void {
		if (row !== undefined && row.version < this.#rowVersion) {
			return;
		}

		this.#isKnown = true;
		this.#rowVersion = row?.value === undefined ? 0 : row.version;
		this.#rowText = row?.value;
		const stored = row?.value === undefined ? undefined : decodeMember(row.value);
		this.#epoch = Math.max(this.#epoch, stored?.epoch ?? 0);
		void this.#write();
	}

	/** Writes nothing any more. */
	close(): void {
		this.#isClosed = true;
	}

	async #write(): Promise<void> {
		const wanted = this.#wanted;
		if (this.#isWriting || this.#isClosed || wanted === undefined || !this.#isKnown) {
			return;
		}

		const text = encodeMember(wanted);
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
			this.#rowVersion = result.value;
			this.#rowText = text;
			this.#pause.reset();
			this.#isFailing = false;
			void this.#write();
			return;
		}

		const failure = result.error;
		if (failure.kind === 'conflict') {
			this.#rowVersion = failure.version;
			this.#rowText = undefined;
		}

		const wasFailing = this.#isFailing;
		this.#isFailing = failure.kind === 'unavailable';
		if (this.#isFailing && !wasFailing) {
			this.handleFailure();
		}

		this.logger.warn(
			{reason: formatFailure(failure), state: wanted.state, service: wanted.service},
			'announcement not written',
		);
		setTimeout(() => {
			void this.#write();
		}, this.#pause.take());
	}
}
