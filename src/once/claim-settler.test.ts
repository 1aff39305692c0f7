import test from 'ava';
import {okAsync, ResultAsync} from 'neverthrow';
import {type PlatformError} from '../store/errors.ts';
import {type ObjectStore, type Table, type TableRow, type TableWrite} from '../store/types.ts';
import {decodeClaim} from './claim-row.ts';
import {type ClaimerContext} from './claimer.ts';
import {NonceRegistry} from './nonce-registry.ts';
import {ClaimSettler} from './claim-settler.ts';
import {type SendOutcome} from './types.ts';

const nowMs = 1_700_000_000_000;
const keepSeconds = 3600;
const request = {service: 'commandes', caller: 'x', key: 'k', fingerprint: 'f'};

/** A table that applies writes at once but answers them only after `release`. */
class StalledTable implements Table {
	static create(): StalledTable {
		return new StalledTable([]);
	}

	private resolveReleased: (() => void) | undefined;
	private readonly released = new Promise<void>(resolve => {
		this.resolveReleased = resolve;
	});

	private constructor(readonly rows: TableRow[]) {}

	write(write: TableWrite): ResultAsync<void, PlatformError> {
		if (write.kind === 'put') {
			this.rows.push(write.row);
		}

		return ResultAsync.fromSafePromise(this.released);
	}

	release(): void {
		this.resolveReleased?.();
	}

	get(): ResultAsync<undefined, PlatformError> {
		return okAsync(undefined);
	}

	transact(): ResultAsync<void, PlatformError> {
		return okAsync(undefined);
	}

	query(): ResultAsync<readonly TableRow[], PlatformError> {
		return okAsync([]);
	}
}

function createContext(table: Table): ClaimerContext {
	const objects: ObjectStore = {
		put: () => okAsync(undefined),
		get: () => okAsync(undefined),
		list: () => okAsync([]),
	};
	return {
		self: {instanceId: 'i', address: '127.0.0.1', peerPort: 1},
		dependencies: {
			table,
			objects,
			holderClient: {killNonce: async () => 'unreachable'},
			readNowMs: () => nowMs,
			readRandom: () => '0'.repeat(16),
			wait: async () => undefined,
		},
		limits: {keepSeconds, maxTableAnswerBytes: 10_000_000, maxAnswerBytes: 10_000_000},
		nonces: NonceRegistry.create(10),
	};
}

test('pending settlements hold a bounded number of answer bytes', async t => {
	const table = StalledTable.create();
	const context = createContext(table);
	const settler = ClaimSettler.create();
	const body = new Uint8Array(1_048_576);
	const outcome: SendOutcome = {
		kind: 'answered',
		record: {kind: 'kept', answer: {status: 200, headers: [], body}},
	};
	for (let index = 0; index < 6; index++) {
		settler.startSettling(context, request, `n${index}`, outcome);
	}

	table.release();
	await settler.waitForPending();
	settler.startSettling(context, request, 'n6', outcome);
	await settler.waitForPending();
	const kinds: string[] = [];
	for (const row of table.rows) {
		const state = decodeClaim(row)?.state;
		kinds.push(state?.kind === 'done' ? state.place.kind : 'none');
	}

	const expected = [...Array.from({length: 4}, () => 'inline'), 'dropped', 'dropped', 'inline'];
	t.deepEqual(kinds, expected);
	t.is(table.rows[0]?.expiresAtSeconds, nowMs / 1000 + keepSeconds);
});
