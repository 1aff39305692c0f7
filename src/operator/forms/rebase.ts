/**
 * Carries typed fields over to a newer version after a conflict.
 */
import {type Policy} from '../../policy/schema.ts';
import {createPolicyForm, listFields} from './policy-form.ts';
import {type FieldNote, type FieldNotes, type TypedFields} from './types.ts';

export type RebasedFields = {readonly typed: TypedFields; readonly notes: FieldNotes};

function readValues(policy: Policy): ReadonlyMap<string, string> {
	return new Map(listFields(createPolicyForm(policy)).map(field => [field.id, field.value]));
}

function createNote(inForce: string): FieldNote {
	const shown = inForce === '' ? 'no' : inForce;
	return {kind: 'conflict', text: `changed meanwhile to "${shown}"; yours is kept here`};
}

/**
 * Keeps each field that the operator changed and takes the others from the version in force, so that
 * applying again reverts nothing of the other change. Fields changed on both sides get a note.
 *
 * @example
 * const {typed, notes} = convertToNewerBase({base, inForce, typed: earlier});
 */
export function convertToNewerBase(request: {
	readonly base: Policy;
	readonly inForce: Policy;
	readonly typed: TypedFields;
}): RebasedFields {
	const before = readValues(request.base);
	const after = readValues(request.inForce);
	const typed = new Map<string, string>();
	const notes = new Map<string, FieldNote>();
	for (const [id, inForce] of after) {
		const mine = before.has(id) ? (request.typed.get(id) ?? '') : inForce;
		const isChanged = mine !== (before.get(id) ?? inForce);
		typed.set(id, isChanged ? mine : inForce);
		if (isChanged && inForce !== before.get(id) && inForce !== mine) {
			notes.set(id, createNote(inForce));
		}
	}

	return {typed, notes};
}
