/**
 * Renders the console's pages. They need no script; every input has a label.
 */
import {renderHtml, type Html} from '../../html/template.ts';
import {renderPage} from './page-frame.ts';
import {renderField, renderFields} from './render-fields.ts';
import {type CallForm, type FieldNotes, type PolicyForm, type ServiceForm} from './types.ts';

/** Part of each form that a session posts. */
export type FormToken = {
	readonly csrfToken: string;
	readonly baseVersion: number;
};

/** One difference between two documents, as shown before it is applied. */
export type ShownDifference = {
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

function renderToken(token: FormToken): Html {
	return renderHtml`<input type="hidden" name="csrfToken" value="${token.csrfToken}">
<input type="hidden" name="baseVersion" value="${token.baseVersion}">`;
}

function renderHidden(values: Iterable<readonly [string, string]>): readonly Html[] {
	const inputs: Html[] = [];
	for (const [name, value] of values) {
		inputs.push(renderHtml`<input type="hidden" name="${name}" value="${value}">`);
	}

	return inputs;
}

/**
 * Renders the login form.
 *
 * @param kept - fields that a post without a session carried; they come back after the login
 * @example
 * response.end(renderLoginPage('', new Map()));
 */
export function renderLoginPage(message: string, kept: ReadonlyMap<string, string>): string {
	const note =
		message === '' ? renderHtml`` : renderHtml`<p class="message" role="alert">${message}</p>`;
	return renderPage(
		'Log in',
		renderHtml`${note}
<form method="post" action="/login">
${renderHidden(kept)}
<p class="field"><label for="key">Administration key</label><input type="password" id="key" name="key" autocomplete="current-password" autofocus required></p>
<p><button>Log in</button></p>
</form>`,
	);
}

/** Tells whether the inputs of a call to add are in use. */
function isAdding(service: ServiceForm, notes: FieldNotes): boolean {
	const [name] = service.newCall;
	return name?.value !== '' || service.newCall.some(field => notes.has(field.id));
}

function renderService(service: ServiceForm, notes: FieldNotes): Html {
	const open = isAdding(service, notes) ? renderHtml` open` : renderHtml``;
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
 * Renders the forms of the policy.
 *
 * @param messages - shown above the forms
 * @example
 * response.end(renderPolicyPage({form, token, messages: [], notes: new Map()}));
 */
export function renderPolicyPage(page: {
	readonly form: PolicyForm;
	readonly token: FormToken;
	readonly messages: readonly string[];
	readonly notes: FieldNotes;
}): string {
	const {form, token, messages, notes} = page;
	const services = form.services.map(service => renderService(service, notes));
	const alerts = messages.map(
		message => renderHtml`<p class="message" role="alert">${message}</p>`,
	);
	return renderPage(
		'Policy',
		renderHtml`${alerts}
<p>Version ${token.baseVersion} is the version that these forms start from.</p>
<form method="post" action="/review">
${renderToken(token)}
${services}
<fieldset>
<legend>Services</legend>
${renderFields([form.newService], notes)}
</fieldset>
<p><button>Review the changes</button></p>
</form>
<form method="post" action="/logout">${renderToken(token)}<p><button>Log out</button></p></form>`,
	);
}

function renderDifference(difference: ShownDifference): Html {
	return renderHtml`<tr><th scope="row">${difference.path}</th><td>${difference.before}</td><td>${difference.after}</td></tr>`;
}

/**
 * Renders the differences that an apply would make, with a button to apply and one to go back.
 *
 * @example
 * response.end(renderReviewPage({token, differences, typed, changeId, message: ''}));
 */
export function renderReviewPage(page: {
	readonly token: FormToken;
	readonly differences: readonly ShownDifference[];
	readonly typed: ReadonlyMap<string, string>;
	readonly changeId: string;
	readonly message: string;
}): string {
	const note =
		page.message === ''
			? renderHtml``
			: renderHtml`<p class="message" role="alert">${page.message}</p>`;
	const apply =
		page.differences.length === 0
			? renderHtml`<p>Nothing differs from version ${page.token.baseVersion}.</p>`
			: renderHtml`<table>
<thead><tr><th scope="col">field</th><th scope="col">in version ${page.token.baseVersion}</th><th scope="col">after the change</th></tr></thead>
<tbody>
${page.differences.map(difference => renderDifference(difference))}
</tbody>
</table>
<p class="field"><label for="author">Your name, for the history</label><input type="text" id="author" name="author" value="${page.typed.get('author') ?? ''}" autocomplete="name" required></p>
<p><button>Apply the changes</button></p>`;
	return renderPage(
		'Review',
		renderHtml`${note}
<form method="post" action="/apply">
${renderToken(page.token)}
<input type="hidden" name="changeId" value="${page.changeId}">
${renderHidden([...page.typed].filter(([name]) => name !== 'author'))}
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
 * Renders a page for a request that can't be answered otherwise.
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
