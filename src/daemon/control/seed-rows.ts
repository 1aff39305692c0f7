/**
 * Seed rows of the platform's table: the endpoints through which a starting daemon finds its first peers.
 */
import {type ResultAsync} from 'neverthrow';
import {decodeEndpoint} from '../../membership/decode-messages.ts';
import {type Endpoint} from '../../membership/messages.ts';
import {type Member} from '../../membership/types.ts';
import {type PlatformError} from '../../store/errors.ts';
import {type Table, type TableRow} from '../../store/types.ts';

const seedPartition = 'seeds';
const seedTtlSeconds = 600;

/** Reads and writes the seed rows. Only a few daemons of each data centre write one. */
export class SeedRows {
	/**
	 * @param handleOddRow - called with the sort key of a row that holds no endpoint; the row is left out
	 * @example
	 * const seeds = SeedRows.create(table, () => Date.now(), logOddRow);
	 */
	static create(
		table: Table,
		readTimeMs: () => number,
		handleOddRow: (sort: string) => void,
	): SeedRows {
		return new SeedRows(table, readTimeMs, handleOddRow);
	}

	private constructor(
		private readonly table: Table,
		private readonly readTimeMs: () => number,
		private readonly handleOddRow: (sort: string) => void,
	) {}

	/** Writes the seed row of a daemon; it expires after `seedTtlSeconds`. */
	write(member: Member): ResultAsync<void, PlatformError> {
		const {dataCentre, server, instanceId, address, peerPort} = member;
		const endpoint: Endpoint = {address, peerPort};
		return this.table.write({
			kind: 'put',
			row: {
				partition: seedPartition,
				sort: `${dataCentre}/${server}`,
				revision: instanceId,
				body: JSON.stringify(endpoint),
				expiresAtSeconds: Math.ceil(this.readTimeMs() / 1000) + seedTtlSeconds,
			},
			condition: {kind: 'none'},
		});
	}

	/**
	 * Lists the seeds of all data centres. The platform may return rows some time after they expired,
	 * so this method filters them out.
	 */
	list(): ResultAsync<readonly Endpoint[], PlatformError> {
		return this.table.query(seedPartition, '').map(rows => this.#decodeRows(rows));
	}

	#decodeRows(rows: readonly TableRow[]): Endpoint[] {
		const nowSeconds = this.readTimeMs() / 1000;
		const endpoints: Endpoint[] = [];
		for (const row of rows) {
			if ((row.expiresAtSeconds ?? Number.POSITIVE_INFINITY) > nowSeconds) {
				const endpoint = decodeEndpoint(row.body);
				if (endpoint === undefined) {
					this.handleOddRow(row.sort);
				} else {
					endpoints.push(endpoint);
				}
			}
		}

		return endpoints;
	}
}
