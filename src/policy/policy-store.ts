/**
 * The policy document's versions in the platform's table.
 */
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {type PlatformError} from '../store/errors.ts';
import {type Table} from '../store/types.ts';
import {builtInVersion} from './built-in.ts';
import {computeConflictFields} from './diff.ts';
import {PolicyError} from './errors.ts';
import {type ApplyRequest, type PolicyHead, type PolicyVersion} from './types.ts';
import {
	configPartition,
	createNextVersion,
	createVersionWrites,
	decodeHead,
	decodeHistory,
	decodeVersion,
	emptyHead,
	headKey,
	readVersionKey,
	versionPrefix,
} from './version-rows.ts';

/** Transactions sent for one apply, as long as their answers are lost. */
const maxApplyAttempts = 3;

/** Clock of the store. */
export type PolicyStoreOptions = {
	/** Reads the wall time in milliseconds since 1970. */
	readonly readTimeMs: () => number;
};

export class PolicyStore {
	/**
	 * @example
	 * const store = PolicyStore.create(table, {readTimeMs: () => Date.now()});
	 */
	static create(table: Table, options: PolicyStoreOptions): PolicyStore {
		return new PolicyStore(table, options);
	}

	private constructor(
		private readonly table: Table,
		private readonly options: PolicyStoreOptions,
	) {}

	/**
	 * Reads the number and digest of the version in force.
	 *
	 * @example
	 * const head = await store.readHead();
	 */
	readHead(): ResultAsync<PolicyHead, PolicyError> {
		return this.table
			.get(headKey)
			.mapErr(error => convertReadError(error))
			.andThen(row => (row ? decodeHead(row) : ok(emptyHead)));
	}

	/**
	 * Reads one version and verifies its digest.
	 *
	 * @example
	 * const version = await store.readVersion(3);
	 */
	readVersion(version: number): ResultAsync<PolicyVersion, PolicyError> {
		return new ResultAsync(this.loadVersion(version));
	}

	/**
	 * Lists all versions in order and verifies that each follows the one before.
	 *
	 * @example
	 * const history = await store.listHistory();
	 */
	listHistory(): ResultAsync<readonly PolicyVersion[], PolicyError> {
		return this.table
			.query(configPartition, versionPrefix)
			.mapErr(error => convertReadError(error))
			.andThen(rows => decodeHistory(rows));
	}

	/**
	 * Puts a document in force as the version after `baseVersion`.
	 *
	 * Fails with `conflict` when another version came first, and with `outcomeUnknown` when it can't be
	 * told whether the change took effect; the same request may then be sent again.
	 *
	 * @example
	 * const applied = await store.applyDocument({document, baseVersion: 3, changeId, author: 'amelie'});
	 */
	applyDocument(request: ApplyRequest): ResultAsync<PolicyVersion, PolicyError> {
		return new ResultAsync(this.runApply(request));
	}

	private async loadVersion(version: number): Promise<Result<PolicyVersion, PolicyError>> {
		if (version === builtInVersion.version) {
			return ok(builtInVersion);
		}

		const row = await this.table.get(readVersionKey(version));
		if (row.isErr()) {
			return err(convertReadError(row.error));
		}

		return row.value
			? decodeVersion(row.value, version)
			: err(PolicyError.create({kind: 'missing', version}));
	}

	private async runApply(request: ApplyRequest): Promise<Result<PolicyVersion, PolicyError>> {
		const head = await this.readHead();
		if (head.isErr()) {
			return err(head.error);
		}

		if (head.value.version !== request.baseVersion) {
			return this.settleConflict(request);
		}

		const next = createNextVersion(request, head.value, this.options.readTimeMs());
		const writes = createVersionWrites(next, head.value);
		let lostAnswer: PlatformError | undefined;
		for (let attempt = 0; attempt < maxApplyAttempts; attempt++) {
			// The conditions make a second run of the same transaction harmless.
			const written = await this.table.transact(writes);
			if (written.isOk()) {
				return ok(next);
			}

			if (written.error.kind === 'conditionFailed') {
				return this.settleConflict(request, lostAnswer);
			}

			if (written.error.kind !== 'lostAnswer') {
				return err(createWriteError(request, lostAnswer, written.error));
			}

			lostAnswer = written.error;
		}

		return this.settleLostAnswer(request, lostAnswer?.message ?? 'no answer');
	}

	/** Decides between an earlier run of the same change and another operator's change. */
	private async settleConflict(
		request: ApplyRequest,
		lostAnswer?: PlatformError,
	): Promise<Result<PolicyVersion, PolicyError>> {
		const own = await this.findApplied(request);
		if (own.isErr()) {
			return err(lostAnswer ? createUnknownError(request, own.error.message) : own.error);
		}

		return own.value ? ok(own.value) : err(await this.createConflict(request));
	}

	private async settleLostAnswer(
		request: ApplyRequest,
		detail: string,
	): Promise<Result<PolicyVersion, PolicyError>> {
		const own = await this.findApplied(request);
		return own.isOk() && own.value ? ok(own.value) : err(createUnknownError(request, detail));
	}

	/** Finds the version that an earlier run of the same change wrote. */
	private async findApplied(
		request: ApplyRequest,
	): Promise<Result<PolicyVersion | undefined, PolicyError>> {
		const next = await this.loadVersion(request.baseVersion + 1);
		if (next.isErr()) {
			return next.error.kind === 'missing' ? ok(undefined) : err(next.error);
		}

		return ok(next.value.changeId === request.changeId ? next.value : undefined);
	}

	private async createConflict(request: ApplyRequest): Promise<PolicyError> {
		const head = await this.readHead();
		if (head.isErr()) {
			return head.error;
		}

		const base = await this.loadVersion(request.baseVersion);
		if (base.isErr()) {
			return base.error;
		}

		const inForce = await this.loadVersion(head.value.version);
		if (inForce.isErr()) {
			return inForce.error;
		}

		const fields = computeConflictFields({
			base: base.value.document,
			mine: request.document,
			inForce: inForce.value.document,
		});
		const {baseVersion} = request;
		return PolicyError.create({
			kind: 'conflict',
			baseVersion,
			versionInForce: head.value.version,
			fields,
		});
	}
}

function convertReadError(error: PlatformError): PolicyError {
	return PolicyError.create({kind: 'unavailable', detail: error.message});
}

function createUnknownError(request: ApplyRequest, detail: string): PolicyError {
	return PolicyError.create({kind: 'outcomeUnknown', changeId: request.changeId, detail});
}

/** A proved failure proves nothing about an earlier attempt whose answer was lost. */
function createWriteError(
	request: ApplyRequest,
	lostAnswer: PlatformError | undefined,
	error: PlatformError,
): PolicyError {
	return lostAnswer
		? createUnknownError(request, lostAnswer.message)
		: PolicyError.create({kind: 'unavailable', detail: error.message});
}
