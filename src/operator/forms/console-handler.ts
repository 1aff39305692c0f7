/**
 * The console's answers to its pages: a draft is reviewed, then applied or explained.
 */
import {randomUUID} from 'node:crypto';
import {err, type Result} from 'neverthrow';
import {type PolicyError} from '../../policy/errors.ts';
import {type PolicyStore} from '../../policy/policy-store.ts';
import {type Policy} from '../../policy/schema.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {validatePolicy} from '../../policy/validate.ts';
import {listFieldChanges} from '../differences.ts';
import {createDraft} from './document.ts';
import {createPolicyForm} from './policy-form.ts';
import {convertToNewerBase} from './rebase.ts';
import {renderAppliedPage, renderErrorPage, renderPolicyPage, renderReviewPage} from './render.ts';
import {type FieldNote, type FieldNotes, type TypedFields} from './types.ts';

/** A page and its status. */
export type ConsolePage = {readonly status: number; readonly html: string};

/** A post of a session: what was typed and the version it started from. */
export type ConsolePost = {
	readonly csrfToken: string;
	readonly baseVersion: number;
	readonly changeId: string;
	readonly author: string;
	readonly typed: TypedFields;
};

const defaultAuthor = 'console';

type Drafted =
	| {readonly kind: 'valid'; readonly document: Policy}
	| {readonly kind: 'invalid'; readonly messages: readonly string[]; readonly notes: FieldNotes};

/** Places each problem beside its field, and above the forms where no field has its path. */
function createDrafted(base: Policy, typed: TypedFields): Drafted {
	const draft = createDraft(base, typed);
	const validated = validatePolicy(draft.document);
	if (validated.isOk()) {
		return {kind: 'valid', document: validated.value};
	}

	const {fault} = validated.error;
	if (fault.kind !== 'invalid') {
		return {kind: 'invalid', messages: [validated.error.message], notes: new Map()};
	}

	const notes = new Map<string, FieldNote>();
	const messages = ['Nothing was applied. Correct the marked fields and review again.'];
	for (const problem of fault.problems) {
		const fieldId = draft.fieldIds.get(problem.path);
		if (fieldId === undefined) {
			messages.push(`${problem.path}: ${problem.value}: ${problem.rule}`);
			continue;
		}

		notes.set(fieldId, {kind: 'error', text: `${problem.value}: ${problem.rule}`});
	}

	return {kind: 'invalid', messages, notes};
}

function createUnavailablePage(error: PolicyError): ConsolePage {
	const detail = `${error.message}. Nothing was changed; go back in the browser and send the form again once the table answers.`;
	return {status: 503, html: renderErrorPage('Policy unavailable', detail)};
}

/** Answers the console's requests from the policy store. */
export class ConsoleHandler {
	/**
	 * @example
	 * const handler = ConsoleHandler.create(store);
	 */
	static create(store: PolicyStore): ConsoleHandler {
		return new ConsoleHandler(store);
	}

	readonly #store: PolicyStore;

	private constructor(store: PolicyStore) {
		this.#store = store;
	}

	/** Answers with the forms of the version in force. */
	async createFormPage(csrfToken: string): Promise<ConsolePage> {
		const version = await this.#readInForce();
		if (version.isErr()) {
			return createUnavailablePage(version.error);
		}

		const {value} = version;
		const token = {csrfToken, baseVersion: value.version};
		const form = createPolicyForm(value.document);
		return {
			status: 200,
			html: renderPolicyPage({form, token, messages: [], notes: new Map()}),
		};
	}

	/** Answers with the forms as they were typed. */
	async createEditPage(post: ConsolePost): Promise<ConsolePage> {
		const base = await this.#store.readVersion(post.baseVersion);
		return base.isErr()
			? createUnavailablePage(base.error)
			: this.#createTypedPage(200, base.value, post, {messages: [], notes: new Map()});
	}

	/** Answers with the differences that the typed fields make, or with what is wrong with them. */
	async createReviewPage(post: ConsolePost): Promise<ConsolePage> {
		const base = await this.#store.readVersion(post.baseVersion);
		if (base.isErr()) {
			return createUnavailablePage(base.error);
		}

		const drafted = createDrafted(base.value.document, post.typed);
		switch (drafted.kind) {
			case 'invalid': {
				return this.#createTypedPage(422, base.value, post, drafted);
			}

			case 'valid': {
				const differences = listFieldChanges(base.value.document, drafted.document);
				const changeId = randomUUID();
				const {typed} = post;
				const token = {csrfToken: post.csrfToken, baseVersion: post.baseVersion};
				const html = renderReviewPage({token, differences, typed, changeId, message: ''});
				return {status: 200, html};
			}
		}
	}

	/** Applies the typed fields; a conflict comes back as forms over the version now in force. */
	async createApplyPage(post: ConsolePost): Promise<ConsolePage> {
		const base = await this.#store.readVersion(post.baseVersion);
		if (base.isErr()) {
			return createUnavailablePage(base.error);
		}

		const drafted = createDrafted(base.value.document, post.typed);
		if (drafted.kind === 'invalid') {
			return this.#createTypedPage(422, base.value, post, drafted);
		}

		const {document} = drafted;
		const applied = await this.#store.applyDocument({
			document,
			baseVersion: post.baseVersion,
			changeId: post.changeId,
			author: post.author === '' ? defaultAuthor : post.author,
		});
		if (applied.isOk()) {
			const {version, digest} = applied.value;
			return {status: 200, html: renderAppliedPage(version, digest)};
		}

		return applied.error.fault.kind === 'conflict'
			? this.#createConflictPage(base.value, post, applied.error)
			: this.#createRetryPage(base.value, post, document, applied.error);
	}

	async #readInForce(): Promise<Result<PolicyVersion, PolicyError>> {
		const head = await this.#store.readHead();
		return head.isErr() ? err(head.error) : this.#store.readVersion(head.value.version);
	}

	#createTypedPage(
		status: number,
		base: PolicyVersion,
		post: ConsolePost,
		remarks: {readonly messages: readonly string[]; readonly notes: FieldNotes},
	): ConsolePage {
		const form = createPolicyForm(base.document, post.typed);
		const token = {csrfToken: post.csrfToken, baseVersion: base.version};
		return {status, html: renderPolicyPage({form, token, ...remarks})};
	}

	/** Keeps the change id, so that applying again is settled even if the first apply took effect. */
	#createRetryPage(
		base: PolicyVersion,
		post: ConsolePost,
		document: Policy,
		error: PolicyError,
	): ConsolePage {
		const differences = listFieldChanges(base.document, document);
		const {typed, changeId, csrfToken, baseVersion} = post;
		const message = `${error.message}. Apply again: the same change is never applied twice.`;
		const token = {csrfToken, baseVersion};
		return {
			status: 503,
			html: renderReviewPage({token, differences, typed, changeId, message}),
		};
	}

	async #createConflictPage(
		base: PolicyVersion,
		post: ConsolePost,
		error: PolicyError,
	): Promise<ConsolePage> {
		const inForce = await this.#readInForce();
		if (inForce.isErr()) {
			return createUnavailablePage(inForce.error);
		}

		const {typed, notes} = convertToNewerBase({
			base: base.document,
			inForce: inForce.value.document,
			typed: post.typed,
		});
		const {fault} = error;
		const overlapping = fault.kind === 'conflict' ? fault.fields.overlapping : [];
		const messages = [
			`Nothing was applied: version ${inForce.value.version} came first. ${error.message}.`,
			overlapping.length === 0
				? 'No field was changed on both sides. Your changes are kept below, over the new version; review them again.'
				: `Changed on both sides: ${overlapping.join(', ')}. Your values are kept below; decide on the marked fields and review again.`,
		];
		return this.#createTypedPage(409, inForce.value, {...post, typed}, {messages, notes});
	}
}
