/**
 * Rebases the submitted fields onto a newer policy version after a conflict.
 */
import {type Policy} from '../../policy/schema.ts';
import {createPolicyForm, listFields} from './policy-form.ts';
import {type FieldNote, type FieldNotes, type SubmittedFields} from './types.ts';

export type RebasedFields = {readonly submitted: SubmittedFields; readonly notes: FieldNotes};

function readFieldValues(policy: Policy): ReadonlyMap<string, string> {
	return new Map(listFields(createPolicyForm(policy)).map(field => [field.id, field.value]));
}

function createConflictNote(valueInForce: string): FieldNote {
	// An empty value is an unchecked checkbox.
	const shown = valueInForce === '' ? 'no' : valueInForce;
	return {kind: 'conflict', text: `changed to "${shown}" in the meantime; your value is kept`};
}

/**
 * Keeps each field that the operator changed and takes the others from the version in force, so that
 * applying again does not revert the other change. Fields changed on both sides to different values get a
 * note. Fields that the version in force no longer has are dropped.
 *
 * @example
 * const {submitted, notes} = rebaseSubmittedFields({base, inForce, submitted: post.submitted});
 */
export function rebaseSubmittedFields(request: {
	readonly base: Policy;
	readonly inForce: Policy;
	readonly submitted: SubmittedFields;
}): RebasedFields {
	const baseValues = readFieldValues(request.base);
	const valuesInForce = readFieldValues(request.inForce);
	const rebased = new Map<string, string>();
	const notes = new Map<string, FieldNote>();
	for (const [id, valueInForce] of valuesInForce) {
		const submittedValue = baseValues.has(id) ? (request.submitted.get(id) ?? '') : valueInForce;
		const isChanged = submittedValue !== (baseValues.get(id) ?? valueInForce);
		rebased.set(id, isChanged ? submittedValue : valueInForce);
		if (isChanged && valueInForce !== baseValues.get(id) && valueInForce !== submittedValue) {
			notes.set(id, createConflictNote(valueInForce));
		}
	}

	return {submitted: rebased, notes};
}
