/**
 * Renders the console's pages. They need no script; every input has a label.
 */
import {renderHtml, type Html} from '../../html/template.ts';
import {type CallForm, type FieldNotes, type FormField, type PolicyForm} from './types.ts';

/** Style sheet of all pages. */
export const consoleStyle = `
body { font: 16px/1.5 system-ui, sans-serif; color: #1b1b1b; background: #fff; max-width: 64rem; margin: 2rem auto; padding: 0 1rem; }
fieldset { border: 1px solid #c8c8c8; margin: 0 0 1.5rem; padding: 0.5rem 1rem 1rem; }
legend { font-weight: 600; }
label { display: inline-block; margin-right: 0.5rem; }
p.field { margin: 0.4rem 0; }
input, select, button { font: inherit; padding: 0.2rem 0.4rem; }
:focus-visible { outline: 3px solid #1f4e8c; outline-offset: 2px; }
table { border-collapse: collapse; margin: 0.5rem 0; }
th, td { border: 1px solid #c8c8c8; padding: 0.3rem 0.7rem; text-align: left; }
.note { display: block; color: #8a1c26; font-weight: 600; }
.message { border-left: 4px solid #8a1c26; background: #fbe3e4; padding: 0.5rem 1rem; }
.done { border-left: 4px solid #1d6b37; background: #e3f3e8; padding: 0.5rem 1rem; }
`;

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

/** Renders a whole page around its main part. */
function renderPage(title: string, main: Html): string {
	return renderHtml`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${title} - primrosevalve</title>
<link rel="stylesheet" href="/style.css">
</head>
<body>
<main>
<h1>${title}</h1>
${main}
</main>
</body>
</html>
`.text;
}

function renderChoice(value: string, options: readonly string[]): readonly Html[] {
	const known = options.includes(value) ? options : [value, ...options];
	return known.map(option =>
		option === value
			? renderHtml`<option selected>${option}</option>`
			: renderHtml`<option>${option}</option>`,
	);
}

/** Renders the input; `noteId` names the note that describes it. */
function renderInput(field: FormField, noteId: string): Html {
	const {id, value} = field;
	const described =
		noteId === '' ? renderHtml`` : renderHtml` aria-invalid="true" aria-describedby="${noteId}"`;
	switch (field.kind) {
		case 'text': {
			return renderHtml`<input type="text" id="${id}" name="${id}" value="${value}"${described}>`;
		}

		case 'number': {
			// A text input keeps what was typed even when it is not a number.
			return renderHtml`<input type="text" inputmode="decimal" id="${id}" name="${id}" value="${value}"${described}>`;
		}

		case 'choice': {
			return renderHtml`<select id="${id}" name="${id}"${described}>${renderChoice(value, field.options)}</select>`;
		}

		case 'checkbox': {
			const checked = value === '' ? renderHtml`` : renderHtml` checked`;
			return renderHtml`<input type="checkbox" id="${id}" name="${id}" value="yes"${checked}${described}>`;
		}
	}
}

function renderField(field: FormField, notes: FieldNotes): Html {
	const note = notes.get(field.id);
	if (note === undefined) {
		return renderHtml`<label for="${field.id}">${field.label}</label>${renderInput(field, '')}`;
	}

	const noteId = `${field.id}.note`;
	return renderHtml`<label for="${field.id}">${field.label}</label>${renderInput(field, noteId)}<span class="note" id="${noteId}">${note.text}</span>`;
}

function renderCall(call: CallForm, notes: FieldNotes): Html {
	return renderHtml`<tr>
<th scope="row">${call.name}</th>
<td>${call.method} ${call.path}</td>
<td>${renderField(call.importance, notes)}</td>
<td>${renderField(call.once, notes)}</td>
<td>${renderField(call.remove, notes)}</td>
</tr>`;
}

function renderFields(fields: readonly FormField[], notes: FieldNotes): readonly Html[] {
	return fields.map(field => renderHtml`<p class="field">${renderField(field, notes)}</p>`);
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
	const services = form.services.map(
		service => renderHtml`<fieldset>
<legend>Service ${service.name}</legend>
<h2>Calls of ${service.name}: which matter most, which run at most once</h2>
<table>
<thead><tr><th scope="col">call</th><th scope="col">matches</th><th scope="col">importance</th><th scope="col">at most once</th><th scope="col">remove</th></tr></thead>
<tbody>
${service.calls.map(call => renderCall(call, notes))}
</tbody>
</table>
<details${service.newCall.some(field => notes.has(field.id) || (field.kind === 'text' && field.id.endsWith('.name') && field.value !== '')) ? renderHtml` open` : renderHtml``}><summary>Add a call to ${service.name}</summary>
${renderFields(service.newCall, notes)}
</details>
<h2>Strain on each server of ${service.name}</h2>
${renderFields(service.strain, notes)}
</fieldset>`,
	);
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
