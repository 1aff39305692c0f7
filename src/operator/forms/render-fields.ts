/**
 * Renders the inputs of the console's forms.
 */
import {renderHtml, type Html} from '../../html/template.ts';
import {type FieldNotes, type FormField} from './types.ts';

/** Renders the options of a select. A value that is not among them is added, so that it stays selected. */
function renderOptions(value: string, options: readonly string[]): readonly Html[] {
	const allOptions = options.includes(value) ? options : [value, ...options];
	return allOptions.map(option =>
		option === value
			? renderHtml`<option selected>${option}</option>`
			: renderHtml`<option>${option}</option>`,
	);
}

/** Renders the control of a field; `noteId` is the element id of its note, empty if it has none. */
function renderInput(field: FormField, noteId: string): Html {
	const {id, value} = field;
	const ariaAttributes =
		noteId === '' ? renderHtml`` : renderHtml` aria-invalid="true" aria-describedby="${noteId}"`;
	switch (field.kind) {
		case 'text': {
			return renderHtml`<input type="text" id="${id}" name="${id}" value="${value}"${ariaAttributes}>`;
		}

		case 'number': {
			// Unlike a number input, a text input can show a submitted value that is not a number.
			return renderHtml`<input type="text" inputmode="decimal" id="${id}" name="${id}" value="${value}"${ariaAttributes}>`;
		}

		case 'choice': {
			return renderHtml`<select id="${id}" name="${id}"${ariaAttributes}>${renderOptions(value, field.options)}</select>`;
		}

		case 'checkbox': {
			const checked = value === '' ? renderHtml`` : renderHtml` checked`;
			return renderHtml`<input type="checkbox" id="${id}" name="${id}" value="yes"${checked}${ariaAttributes}>`;
		}
	}
}

/**
 * Renders a field: the label, the input and, if the field has one, its note.
 *
 * @example
 * renderField(field, notes);
 */
export function renderField(field: FormField, notes: FieldNotes): Html {
	const note = notes.get(field.id);
	if (note === undefined) {
		return renderHtml`<label for="${field.id}">${field.label}</label>${renderInput(field, '')}`;
	}

	const noteId = `${field.id}.note`;
	return renderHtml`<label for="${field.id}">${field.label}</label>${renderInput(field, noteId)}<span class="note" id="${noteId}">${note.text}</span>`;
}

/**
 * Renders fields as paragraphs, one below another.
 *
 * @example
 * renderFields(service.limits, notes);
 */
export function renderFields(fields: readonly FormField[], notes: FieldNotes): readonly Html[] {
	return fields.map(field => renderHtml`<p class="field">${renderField(field, notes)}</p>`);
}
