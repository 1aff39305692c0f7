/**
 * Request handlers of the console: they show, validate, review and apply changes of the policy.
 */
import {randomUUID} from 'node:crypto';
import {err, type Result} from 'neverthrow';
import {type PolicyError} from '../../policy/errors.ts';
import {type PolicyStore} from '../../policy/policy-store.ts';
import {type Policy} from '../../policy/schema.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {validatePolicy} from '../../policy/validate.ts';
import {listFieldChanges} from '../differences.ts';
import {createPolicyDraft} from './policy-draft.ts';
import {createPolicyForm} from './policy-form.ts';
import {rebaseSubmittedFields} from './rebase.ts';
import {renderAppliedPage, renderErrorPage, renderPolicyPage, renderReviewPage} from './render.ts';
import {type FieldNote, type FieldNotes, type SubmittedFields} from './types.ts';

/** A page and the status of its HTTP answer. */
export type ConsolePage = {readonly status: number; readonly html: string};

/** A form posted within a session. */
export type ConsolePost = {
	readonly csrfToken: string;
	/** Policy version that the submitted fields are based on. */
	readonly baseVersion: number;
	readonly changeId: string;
	readonly author: string;
	readonly submitted: SubmittedFields;
};

const defaultAuthor = 'console';

type DraftValidation =
	| {readonly kind: 'valid'; readonly document: Policy}
	| {readonly kind: 'invalid'; readonly messages: readonly string[]; readonly notes: FieldNotes};

/**
 * Validates the submitted fields. A problem becomes a note beside its field, or a message above the form
 * if no field has its path.
 */
function validateSubmittedFields(base: Policy, submitted: SubmittedFields): DraftValidation {
	const draft = createPolicyDraft(base, submitted);
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

/** Creates the console's pages from the policy store and applies changes to it. */
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

	/** Creates the edit page with the values of the version in force. */
	async createFormPage(csrfToken: string): Promise<ConsolePage> {
		const version = await this.#readVersionInForce();
		if (version.isErr()) {
			return createUnavailablePage(version.error);
		}

		const {value} = version;
		const context = {csrfToken, baseVersion: value.version};
		const form = createPolicyForm(value.document);
		return {
			status: 200,
			html: renderPolicyPage({form, context, messages: [], notes: new Map()}),
		};
	}

	/** Creates the edit page with the submitted values. */
	async createEditPage(post: ConsolePost): Promise<ConsolePage> {
		const base = await this.#store.readVersion(post.baseVersion);
		return base.isErr()
			? createUnavailablePage(base.error)
			: this.#createSubmittedFormPage(200, base.value, post, {messages: [], notes: new Map()});
	}

	/** Creates the review page with the changes, or the edit page with the problems if a field is invalid. */
	async createReviewPage(post: ConsolePost): Promise<ConsolePage> {
		const base = await this.#store.readVersion(post.baseVersion);
		if (base.isErr()) {
			return createUnavailablePage(base.error);
		}

		const validation = validateSubmittedFields(base.value.document, post.submitted);
		switch (validation.kind) {
			case 'invalid': {
				return this.#createSubmittedFormPage(422, base.value, post, validation);
			}

			case 'valid': {
				const differences = listFieldChanges(base.value.document, validation.document);
				const changeId = randomUUID();
				const {submitted} = post;
				const context = {csrfToken: post.csrfToken, baseVersion: post.baseVersion};
				const html = renderReviewPage({context, differences, submitted, changeId, message: ''});
				return {status: 200, html};
			}
		}
	}

	/** Applies the submitted fields. After a conflict, creates the edit page rebased onto the version in force. */
	async createApplyPage(post: ConsolePost): Promise<ConsolePage> {
		const base = await this.#store.readVersion(post.baseVersion);
		if (base.isErr()) {
			return createUnavailablePage(base.error);
		}

		const validation = validateSubmittedFields(base.value.document, post.submitted);
		if (validation.kind === 'invalid') {
			return this.#createSubmittedFormPage(422, base.value, post, validation);
		}

		const {document} = validation;
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

	async #readVersionInForce(): Promise<Result<PolicyVersion, PolicyError>> {
		const head = await this.#store.readHead();
		return head.isErr() ? err(head.error) : this.#store.readVersion(head.value.version);
	}

	#createSubmittedFormPage(
		status: number,
		base: PolicyVersion,
		post: ConsolePost,
		feedback: {readonly messages: readonly string[]; readonly notes: FieldNotes},
	): ConsolePage {
		const form = createPolicyForm(base.document, post.submitted);
		const context = {csrfToken: post.csrfToken, baseVersion: base.version};
		return {status, html: renderPolicyPage({form, context, ...feedback})};
	}

	/**
	 * Creates the review page with the same change id, so that the change is not applied twice if the first
	 * attempt took effect.
	 */
	#createRetryPage(
		base: PolicyVersion,
		post: ConsolePost,
		document: Policy,
		error: PolicyError,
	): ConsolePage {
		const differences = listFieldChanges(base.document, document);
		const {submitted, changeId, csrfToken, baseVersion} = post;
		const message = `${error.message}. Apply again: the same change is never applied twice.`;
		const context = {csrfToken, baseVersion};
		return {
			status: 503,
			html: renderReviewPage({context, differences, submitted, changeId, message}),
		};
	}

	async #createConflictPage(
		base: PolicyVersion,
		post: ConsolePost,
		error: PolicyError,
	): Promise<ConsolePage> {
		const inForce = await this.#readVersionInForce();
		if (inForce.isErr()) {
			return createUnavailablePage(inForce.error);
		}

		const {submitted, notes} = rebaseSubmittedFields({
			base: base.document,
			inForce: inForce.value.document,
			submitted: post.submitted,
		});
		const {fault} = error;
		const overlapping = fault.kind === 'conflict' ? fault.fields.overlapping : [];
		const messages = [
			`Your changes were not applied: version ${inForce.value.version} was applied first. ${error.message}.`,
			overlapping.length === 0
				? 'No field was changed on both sides. Your changes are kept below, on top of the new version; review them again.'
				: `Changed on both sides: ${overlapping.join(', ')}. Your values are kept below; decide on the marked fields and review again.`,
		];
		return this.#createSubmittedFormPage(
			409,
			inForce.value,
			{...post, submitted},
			{messages, notes},
		);
	}
}
