/**
 * Types of the console's forms.
 */

/** Values that the operator submitted, by field id; an unchecked checkbox is absent. */
export type SubmittedFields = ReadonlyMap<string, string>;

type FieldBase = {
	/** Unique within the form; also the `name` attribute of the input. */
	readonly id: string;
	readonly label: string;
	/** Value as text; `yes` for a checked checkbox, empty for an unchecked one. */
	readonly value: string;
};

/** One input of a form, by the kind of its control. */
export type FormField =
	| (FieldBase & {readonly kind: 'text'})
	| (FieldBase & {readonly kind: 'number'; readonly step: string})
	| (FieldBase & {readonly kind: 'choice'; readonly options: readonly string[]})
	| (FieldBase & {readonly kind: 'checkbox'});

/** Fields of one call rule. */
export type CallForm = {
	readonly name: string;
	readonly method: string;
	readonly path: string;
	readonly importance: FormField;
	readonly once: FormField;
	readonly remove: FormField;
};

/** Fields of one service. */
export type ServiceForm = {
	readonly name: string;
	readonly limits: readonly FormField[];
	readonly calls: readonly CallForm[];
	/** Inputs for adding a call rule; ignored while the name is empty. */
	readonly newCall: readonly FormField[];
};

export type PolicyForm = {
	readonly services: readonly ServiceForm[];
	/** Input for the name of a service to add; ignored while empty. */
	readonly newService: FormField;
};

/** A message shown beside one field. */
export type FieldNote = {
	readonly kind: 'error' | 'conflict';
	readonly text: string;
};

/** Notes by field id. */
export type FieldNotes = ReadonlyMap<string, FieldNote>;
