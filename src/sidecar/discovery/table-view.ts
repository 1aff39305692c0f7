/** What is known of one table of the store, and how current it is; decides what reads and relays change. */
import {type Row, type RowSet, type StorePosition, type TableName} from '../shared-table.ts';
import {type TableChanges} from './relay-message.ts';
import {RowTexts} from './row-texts.ts';
import {comparePositions, decideOnRelay} from './table-position.ts';
import {ViewLease} from './view-lease.ts';

/** Rows that are new to the view. */
export type NewRows = {readonly rows: readonly Row[]; readonly position: StorePosition};

export class TableView {
	/**
	 * @param limitMs - age at which the view has to be confirmed by the store itself
	 * @example
	 * const view = TableView.create('operator', 1600);
	 * view.applyAll(rowSet, performance.now());
	 */
	static create(table: TableName, limitMs: number): TableView {
		return new TableView(table, limitMs);
	}

	/** Whether changes between the known version and that of a relay are missing. */
	hasGap = false;
	/** Whether the store has no changes after the known version. */
	isCompacted = false;
	#position: StorePosition | undefined;
	readonly #texts = RowTexts.create();
	/** No row has changed between this version and the known one. */
	#changedVersion = 0;
	/** A relay that leads into a later era, until the store confirms the era. */
	#restored: TableChanges | undefined;
	readonly #lease: ViewLease;

	private constructor(
		private readonly table: TableName,
		limitMs: number,
	) {
		this.#lease = ViewLease.create(limitMs);
	}

	/** Position up to which the table is known; undefined before the first read. */
	get position(): StorePosition | undefined {
		return this.#position;
	}

	/** Time since the store confirmed the known state, in milliseconds. */
	readAgeMs(nowMs: number): number {
		return this.#lease.readAgeMs(nowMs);
	}

	isExpired(nowMs: number): boolean {
		return this.#lease.isExpired(nowMs);
	}

	/** Whether the store was restored after the known position. */
	isOutdated(storeEra: number): boolean {
		return this.#position !== undefined && this.#position.era < storeEra;
	}

	/** Returns the positions between which no row has changed; undefined when the view has expired. */
	readConfirmed(storeEra: number, nowMs: number): TableChanges | undefined {
		const position = this.#position;
		if (position === undefined || this.isExpired(nowMs) || this.isOutdated(storeEra)) {
			return undefined;
		}

		const base = {...position, version: this.#changedVersion};
		return {table: this.table, base, position, rows: [], ageMs: this.readAgeMs(nowMs)};
	}

	/**
	 * Applies all rows of the table, as just read.
	 *
	 * @returns the changes since the known position, to be relayed; undefined after the first read
	 */
	applyAll({rows, era, version}: RowSet, nowMs: number): TableChanges | undefined {
		const known = this.#position;
		const position = {era, version};
		const {changed, missing} = this.#texts.diff(rows);
		// A restored store lacks rows that were written, not removed.
		const isSameEra = known?.era === era;
		const removed = isSameEra ? missing.map(key => ({key, value: undefined, version})) : [];
		const changes = [...changed, ...removed];
		const base = known === undefined ? undefined : {...known, version: this.#changedVersion};
		this.#texts.apply(changes);
		this.#position = position;
		this.#changedVersion = Math.max(0, ...rows.map(row => row.version));
		this.hasGap = false;
		this.isCompacted = false;
		this.#restored = undefined;
		this.#lease.record(nowMs);
		return base === undefined ? undefined : {table: this.table, base, position, rows: changes};
	}

	/**
	 * Applies the answer to a call for the changes after a position.
	 *
	 * @returns the new rows; undefined when the store or the view has moved to another era meanwhile
	 */
	applyRead(base: StorePosition, read: RowSet, nowMs: number): NewRows | undefined {
		const {rows, era, version} = read;
		if (era !== base.era || era !== this.#position!.era) {
			return undefined;
		}

		this.hasGap = false;
		this.#lease.record(nowMs);
		return this.#applyChanges({table: this.table, base, position: {era, version}, rows});
	}

	/** Applies a relay as far as it continues the known position, and returns its new rows. */
	applyRelay(changes: TableChanges, storeEra: number, nowMs: number): NewRows | undefined {
		const known = this.#position;
		if (known === undefined) {
			return undefined;
		}

		switch (decideOnRelay(known, changes)) {
			case 'behind': {
				return undefined;
			}

			case 'ignored': {
				this.#recordRelay(changes, nowMs);
				return undefined;
			}

			case 'applied': {
				const applied = this.#applyChanges(changes);
				this.#recordRelay(changes, nowMs);
				return applied;
			}

			case 'gap': {
				this.hasGap = true;
				return undefined;
			}

			case 'restored': {
				this.#restored = changes;
				return this.applyRestored(storeEra);
			}
		}
	}

	/** Applies the relay of the restored table, once the store has confirmed its era. */
	applyRestored(storeEra: number): NewRows | undefined {
		const changes = this.#restored;
		const known = this.#position;
		if (changes === undefined || known === undefined || changes.position.era > storeEra) {
			return undefined;
		}

		this.#restored = undefined;
		const isContinued = decideOnRelay(known, changes) === 'restored';
		return isContinued ? this.#applyChanges(changes) : undefined;
	}

	/** Records that a relay confirmed the known state, with the age that the confirmation had at the sender. */
	#recordRelay({position, ageMs = 0}: TableChanges, nowMs: number): void {
		if (position.era === this.#position!.era) {
			this.#lease.record(nowMs - ageMs);
		}
	}

	/** Applies changes that continue the known position. */
	#applyChanges({position, rows}: TableChanges): NewRows {
		const known = this.#position!;
		const isRestored = position.era !== known.era;
		const isNew = ({version}: Row) => isRestored || version === 0 || version > known.version;
		const newRows = rows.filter(row => isNew(row));
		this.#texts.apply(newRows);
		this.#position = comparePositions(position, known) > 0 ? position : known;
		if (newRows.length > 0 || isRestored) {
			this.#changedVersion = this.#position.version;
		}

		return {rows: newRows, position};
	}
}
