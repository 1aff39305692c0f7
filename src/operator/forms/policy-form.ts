/**
 * Builds the fields of the policy form from a policy document and, if given, the submitted fields.
 */
import {importance} from '../../call/types.ts';
import {type CallRule, type Policy, type ServicePolicy} from '../../policy/schema.ts';
import {
	type CallForm,
	type FormField,
	type PolicyForm,
	type ServiceForm,
	type SubmittedFields,
} from './types.ts';

const importanceNames = Object.keys(importance);
const admissionKinds = ['none', 'fixed', 'adaptive'];

/** Creates the field id of a service's setting. */
export const createServiceFieldId = (service: string, field: string) =>
	`service.${service}.${field}`;

/** Creates the field id of a call rule's setting. */
export const createCallFieldId = (service: string, call: string, field: string) =>
	`call.${service}.${call}.${field}`;

/** Creates the field id of an input for adding a call rule to a service. */
export const createNewCallFieldId = (service: string, field: string) => `new.${service}.${field}`;

/** Field id of the input for the name of a service to add. */
export const newServiceFieldId = 'newService.name';

/** Returns the value that a field shows; `current` is the value in the document. */
type ValueReader = (id: string, current: string) => string;

function createValueReader(submitted: SubmittedFields | undefined): ValueReader {
	return (id, current) => (submitted === undefined ? current : (submitted.get(id) ?? ''));
}

function createLimitFields(service: ServicePolicy, readValue: ValueReader): readonly FormField[] {
	const {admission} = service;
	const createNumberField = (
		field: string,
		label: string,
		value: number,
		step = '1',
	): FormField => {
		const id = createServiceFieldId(service.name, field);
		return {kind: 'number', id, label, step, value: readValue(id, String(value))};
	};

	const kindId = createServiceFieldId(service.name, 'admission.kind');
	return [
		createNumberField('slotsPerServer', 'Slots per server', service.slotsPerServer),
		createNumberField(
			'connectionsPerServer',
			'Connections per server',
			service.connectionsPerServer,
		),
		{
			kind: 'choice',
			id: kindId,
			label: 'Admission control',
			options: admissionKinds,
			value: readValue(kindId, admission.kind),
		},
		createNumberField('admission.maxQueued', 'Longest queue, in requests', admission.maxQueued),
		createNumberField(
			'admission.targetDelayMs',
			'Target queueing delay, in milliseconds',
			admission.targetDelayMs,
		),
		createNumberField(
			'admission.longShare',
			'Share of the slots for long calls, 0.05 to 1',
			admission.longShare,
			'any',
		),
	];
}

function createCallForm(service: ServicePolicy, call: CallRule, readValue: ValueReader): CallForm {
	const importanceId = createCallFieldId(service.name, call.name, 'importance');
	const onceId = createCallFieldId(service.name, call.name, 'once');
	const removeId = createCallFieldId(service.name, call.name, 'remove');
	return {
		name: call.name,
		method: call.method,
		path: call.path,
		importance: {
			kind: 'choice',
			id: importanceId,
			label: `Importance of ${call.name}`,
			options: importanceNames,
			value: readValue(importanceId, call.importance),
		},
		once: {
			kind: 'checkbox',
			id: onceId,
			label: `Run ${call.name} at most once`,
			value: readValue(onceId, call.once ? 'yes' : ''),
		},
		remove: {
			kind: 'checkbox',
			id: removeId,
			label: `Remove the rule ${call.name}`,
			value: readValue(removeId, ''),
		},
	};
}

function createNewCallFields(service: ServicePolicy, readValue: ValueReader): readonly FormField[] {
	const createTextField = (field: string, label: string, current: string): FormField => {
		const id = createNewCallFieldId(service.name, field);
		return {kind: 'text', id, label, value: readValue(id, current)};
	};

	const importanceId = createNewCallFieldId(service.name, 'importance');
	const onceId = createNewCallFieldId(service.name, 'once');
	return [
		createTextField('name', 'Name of a call to add', ''),
		createTextField('method', 'HTTP method, or * for any', '*'),
		createTextField('path', 'Path, for example /orders/:id', ''),
		{
			kind: 'choice',
			id: importanceId,
			label: 'Importance',
			options: importanceNames,
			value: readValue(importanceId, 'normal'),
		},
		{kind: 'checkbox', id: onceId, label: 'Run at most once', value: readValue(onceId, '')},
	];
}

/**
 * Creates the form of a policy.
 *
 * @param submitted - shown instead of the values of the document
 * @example
 * const form = createPolicyForm(version.document);
 */
export function createPolicyForm(policy: Policy, submitted?: SubmittedFields): PolicyForm {
	const readValue = createValueReader(submitted);
	const services: ServiceForm[] = [];
	for (const service of policy.services) {
		services.push({
			name: service.name,
			limits: createLimitFields(service, readValue),
			calls: service.calls.map(call => createCallForm(service, call, readValue)),
			newCall: createNewCallFields(service, readValue),
		});
	}

	return {
		services,
		newService: {
			kind: 'text',
			id: newServiceFieldId,
			label: 'Name of a service to add',
			value: readValue(newServiceFieldId, ''),
		},
	};
}

/**
 * Lists all fields of a form.
 *
 * @example
 * for (const field of listFields(form)) console.log(field.id, field.value);
 */
export function listFields(form: PolicyForm): readonly FormField[] {
	const fields: FormField[] = [];
	for (const service of form.services) {
		fields.push(...service.limits);
		for (const call of service.calls) {
			fields.push(call.importance, call.once, call.remove);
		}

		fields.push(...service.newCall);
	}

	fields.push(form.newService);
	return fields;
}
