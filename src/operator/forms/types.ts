/**
 * Types of the console's forms.
 */

/** What the operator typed, by field id; an unchecked box is absent. */
export type TypedFields = ReadonlyMap<string, string>;

type FieldBase = {
	/** Unique in the form; also the name under which it is posted. */
	readonly id: string;
	readonly label: string;
	/** Value as text; a checked box is `yes`, an unchecked one empty. */
	readonly value: string;
};

/** One input of a form. */
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
	/** Inputs of a call rule to add; ignored while its name is empty. */
	readonly newCall: readonly FormField[];
};

export type PolicyForm = {
	readonly services: readonly ServiceForm[];
	/** Name of a service to add; ignored while empty. */
	readonly newService: FormField;
};

/** A note beside one field. */
export type FieldNote = {
	readonly kind: 'error' | 'conflict';
	readonly text: string;
};

/** Notes by field id. */
export type FieldNotes = ReadonlyMap<string, FieldNote>;
