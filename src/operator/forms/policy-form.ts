/**
 * Builds the form's fields from a policy document and, if given, what the operator typed.
 */
import {importance} from '../../call/types.ts';
import {type CallRule, type Policy, type ServicePolicy} from '../../policy/schema.ts';
import {
	type CallForm,
	type FormField,
	type PolicyForm,
	type ServiceForm,
	type TypedFields,
} from './types.ts';

const importanceNames = Object.keys(importance);
const admissionKinds = ['none', 'fixed', 'adaptive'];

/** Field id of a service's setting. */
export const serviceFieldId = (service: string, field: string) => `service.${service}.${field}`;

/** Field id of a call rule's setting. */
export const callFieldId = (service: string, call: string, field: string) =>
	`call.${service}.${call}.${field}`;

/** Field id of a call rule that is to be added to a service. */
export const newCallFieldId = (service: string, field: string) => `new.${service}.${field}`;

/** Field id of the name of a service that is to be added. */
export const newServiceFieldId = 'newService.name';

/** Replaces the document's values by the typed ones. */
type ValueSource = (id: string, current: string) => string;

function createValueSource(typed: TypedFields | undefined): ValueSource {
	return (id, current) => (typed === undefined ? current : (typed.get(id) ?? ''));
}

function createLimitFields(service: ServicePolicy, read: ValueSource): readonly FormField[] {
	const {admission} = service;
	const createNumber = (field: string, label: string, value: number, step = '1'): FormField => {
		const id = serviceFieldId(service.name, field);
		return {kind: 'number', id, label, step, value: read(id, String(value))};
	};

	const kindId = serviceFieldId(service.name, 'admission.kind');
	return [
		createNumber('slotsPerServer', 'Slots per server', service.slotsPerServer),
		createNumber('connectionsPerServer', 'Connections per server', service.connectionsPerServer),
		{
			kind: 'choice',
			id: kindId,
			label: 'Admission control',
			options: admissionKinds,
			value: read(kindId, admission.kind),
		},
		createNumber('admission.maxQueued', 'Longest queue, in requests', admission.maxQueued),
		createNumber(
			'admission.targetDelayMs',
			'Target queueing delay, in milliseconds',
			admission.targetDelayMs,
		),
		createNumber(
			'admission.longShare',
			'Share of the slots for long calls, 0.05 to 1',
			admission.longShare,
			'any',
		),
	];
}

function createCallForm(service: ServicePolicy, call: CallRule, read: ValueSource): CallForm {
	const importanceId = callFieldId(service.name, call.name, 'importance');
	const onceId = callFieldId(service.name, call.name, 'once');
	const removeId = callFieldId(service.name, call.name, 'remove');
	return {
		name: call.name,
		method: call.method,
		path: call.path,
		importance: {
			kind: 'choice',
			id: importanceId,
			label: `Importance of ${call.name}`,
			options: importanceNames,
			value: read(importanceId, call.importance),
		},
		once: {
			kind: 'checkbox',
			id: onceId,
			label: `Run ${call.name} at most once`,
			value: read(onceId, call.once ? 'yes' : ''),
		},
		remove: {
			kind: 'checkbox',
			id: removeId,
			label: `Remove the rule ${call.name}`,
			value: read(removeId, ''),
		},
	};
}

function createNewCallFields(service: ServicePolicy, read: ValueSource): readonly FormField[] {
	const createText = (field: string, label: string, current: string): FormField => {
		const id = newCallFieldId(service.name, field);
		return {kind: 'text', id, label, value: read(id, current)};
	};

	const importanceId = newCallFieldId(service.name, 'importance');
	const onceId = newCallFieldId(service.name, 'once');
	return [
		createText('name', 'Name of a call to add', ''),
		createText('method', 'HTTP method, or * for any', '*'),
		createText('path', 'Path, for example /orders/:id', ''),
		{
			kind: 'choice',
			id: importanceId,
			label: 'Importance',
			options: importanceNames,
			value: read(importanceId, 'normal'),
		},
		{kind: 'checkbox', id: onceId, label: 'Run at most once', value: read(onceId, '')},
	];
}

/**
 * Creates the form of a policy.
 *
 * @param typed - what the operator typed; it wins over the document
 * @example
 * const form = createPolicyForm(version.document);
 */
export function createPolicyForm(policy: Policy, typed?: TypedFields): PolicyForm {
	const read = createValueSource(typed);
	const services: ServiceForm[] = [];
	for (const service of policy.services) {
		services.push({
			name: service.name,
			limits: createLimitFields(service, read),
			calls: service.calls.map(call => createCallForm(service, call, read)),
			newCall: createNewCallFields(service, read),
		});
	}

	return {
		services,
		newService: {
			kind: 'text',
			id: newServiceFieldId,
			label: 'Name of a service to add',
			value: read(newServiceFieldId, ''),
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
