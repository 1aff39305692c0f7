/**
 * Renders the console's pages. The pages use no scripts; every visible input has a label.
 */
import {renderHtml, type Html} from '../../html/template.ts';
import {renderPage} from './page-frame.ts';
import {renderField, renderFields} from './render-fields.ts';
import {type CallForm, type FieldNotes, type PolicyForm, type ServiceForm} from './types.ts';

/** Values that each form of a session carries in hidden inputs. */
export type FormContext = {
	readonly csrfToken: string;
	readonly baseVersion: number;
};

/** One changed field of the policy document, as shown on the review page. */
export type FieldDifference = {
	readonly path: string;
	readonly before: string;
	readonly after: string;
};

function renderCall(call: CallForm, notes: FieldNotes): Html {
	return renderHtml`<tr>
<th scope="row">${call.name}</th>
<td>${call.method} ${call.path}</td>
<td>${renderField(call.importance, notes)}</td>
<td>${renderField(call.once, notes)}</td>
<td>${renderField(call.remove, notes)}</td>
</tr>`;
}

function renderFormContext(context: FormContext): Html {
	return renderHtml`<input type="hidden" name="csrfToken" value="${context.csrfToken}">
<input type="hidden" name="baseVersion" value="${context.baseVersion}">`;
}

function renderHiddenInputs(values: Iterable<readonly [string, string]>): readonly Html[] {
	const inputs: Html[] = [];
	for (const [name, value] of values) {
		inputs.push(renderHtml`<input type="hidden" name="${name}" value="${value}">`);
	}

	return inputs;
}

/**
 * Renders the login form.
 *
 * @param message - shown above the form; empty for none
 * @param preservedFields - fields of a post without a valid session; hidden inputs carry them through the login
 * @example
 * response.end(renderLoginPage('', new Map()));
 */
export function renderLoginPage(
	message: string,
	preservedFields: ReadonlyMap<string, string>,
): string {
	const note =
		message === '' ? renderHtml`` : renderHtml`<p class="message" role="alert">${message}</p>`;
	return renderPage(
		'Log in',
		renderHtml`${note}
<form method="post" action="/login">
${renderHiddenInputs(preservedFields)}
<p class="field"><label for="key">Administration key</label><input type="password" id="key" name="key" autocomplete="current-password" autofocus required></p>
<p><button>Log in</button></p>
</form>`,
	);
}

/** Whether the inputs for adding a call are shown expanded: when a name is filled in or a field has a note. */
function isNewCallExpanded(service: ServiceForm, notes: FieldNotes): boolean {
	const [name] = service.newCall;
	return name?.value !== '' || service.newCall.some(field => notes.has(field.id));
}

function renderService(service: ServiceForm, notes: FieldNotes): Html {
	const open = isNewCallExpanded(service, notes) ? renderHtml` open` : renderHtml``;
	return renderHtml`<fieldset>
<legend>Service ${service.name}</legend>
<h2>Calls of ${service.name}: importance and at-most-once</h2>
<table>
<thead><tr><th scope="col">call</th><th scope="col">matches</th><th scope="col">importance</th><th scope="col">at most once</th><th scope="col">remove</th></tr></thead>
<tbody>
${service.calls.map(call => renderCall(call, notes))}
</tbody>
</table>
<details${open}><summary>Add a call to ${service.name}</summary>
${renderFields(service.newCall, notes)}
</details>
<h2>Limits of each server of ${service.name}</h2>
${renderFields(service.limits, notes)}
</fieldset>`;
}

/**
 * Renders the page on which the policy is edited.
 *
 * @param page.messages - shown above the form
 * @example
 * response.end(renderPolicyPage({form, context, messages: [], notes: new Map()}));
 */
export function renderPolicyPage(page: {
	readonly form: PolicyForm;
	readonly context: FormContext;
	readonly messages: readonly string[];
	readonly notes: FieldNotes;
}): string {
	const {form, context, messages, notes} = page;
	const services = form.services.map(service => renderService(service, notes));
	const alerts = messages.map(
		message => renderHtml`<p class="message" role="alert">${message}</p>`,
	);
	return renderPage(
		'Policy',
		renderHtml`${alerts}
<p>These forms are based on version ${context.baseVersion}.</p>
<form method="post" action="/review">
${renderFormContext(context)}
${services}
<fieldset>
<legend>Services</legend>
${renderFields([form.newService], notes)}
</fieldset>
<p><button>Review the changes</button></p>
</form>
<form method="post" action="/logout">${renderFormContext(context)}<p><button>Log out</button></p></form>`,
	);
}

function renderDifference(difference: FieldDifference): Html {
	return renderHtml`<tr><th scope="row">${difference.path}</th><td>${difference.before}</td><td>${difference.after}</td></tr>`;
}

/**
 * Renders the changes that applying the form would make, with buttons to apply them and to go back.
 *
 * @example
 * response.end(renderReviewPage({context, differences, submitted, changeId, message: ''}));
 */
export function renderReviewPage(page: {
	readonly context: FormContext;
	readonly differences: readonly FieldDifference[];
	readonly submitted: ReadonlyMap<string, string>;
	readonly changeId: string;
	readonly message: string;
}): string {
	const note =
		page.message === ''
			? renderHtml``
			: renderHtml`<p class="message" role="alert">${page.message}</p>`;
	const apply =
		page.differences.length === 0
			? renderHtml`<p>No changes from version ${page.context.baseVersion}.</p>`
			: renderHtml`<table>
<thead><tr><th scope="col">field</th><th scope="col">in version ${page.context.baseVersion}</th><th scope="col">after the change</th></tr></thead>
<tbody>
${page.differences.map(difference => renderDifference(difference))}
</tbody>
</table>
<p class="field"><label for="author">Your name, for the history</label><input type="text" id="author" name="author" value="${page.submitted.get('author') ?? ''}" autocomplete="name" required></p>
<p><button>Apply the changes</button></p>`;
	return renderPage(
		'Review',
		renderHtml`${note}
<form method="post" action="/apply">
${renderFormContext(page.context)}
<input type="hidden" name="changeId" value="${page.changeId}">
${renderHiddenInputs([...page.submitted].filter(([name]) => name !== 'author'))}
${apply}
<p><button formaction="/edit" formnovalidate>Back to the forms</button></p>
</form>`,
	);
}

/**
 * Renders the page that confirms an applied version.
 *
 * @example
 * response.end(renderAppliedPage(version.version, version.digest));
 */
export function renderAppliedPage(version: number, digest: string): string {
	return renderPage(
		'Applied',
		renderHtml`<p class="done" role="status">Version ${version} is in force in the table; daemons adopt it within seconds.</p>
<p>Digest ${digest}.</p>
<p><a href="/">Back to the forms</a></p>`,
	);
}

/**
 * Renders the page for a request that failed or was refused.
 *
 * @example
 * response.end(renderErrorPage('Policy unavailable', 'Try again once the table answers.'));
 */
export function renderErrorPage(title: string, detail: string): string {
	return renderPage(
		title,
		renderHtml`<p class="message" role="alert">${detail}</p>
<p><a href="/">Back to the forms</a></p>`,
	);
}
