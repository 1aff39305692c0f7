/**
 * Renders the inputs of the console's forms.
 */
import {renderHtml, type Html} from '../../html/template.ts';
import {type FieldNotes, type FormField} from './types.ts';

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

/**
 * Renders one input with its label and, if there is one, its note.
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
 * Renders inputs below one another.
 *
 * @example
 * renderFields(service.limits, notes);
 */
export function renderFields(fields: readonly FormField[], notes: FieldNotes): readonly Html[] {
	return fields.map(field => renderHtml`<p class="field">${renderField(field, notes)}</p>`);
}
