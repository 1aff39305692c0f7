/**
 * Builds a policy document from the document that the operator started from and what was typed.
 */
import {type Policy} from '../../policy/schema.ts';
import {callFieldId, newCallFieldId, newServiceFieldId, serviceFieldId} from './policy-form.ts';
import {type TypedFields} from './types.ts';

/** A document before its validation. */
export type Draft = {
	readonly document: unknown;
	/** Field id of each path of the document that the form can change. */
	readonly fieldIds: ReadonlyMap<string, string>;
};

/** Converts typed digits to a number; other text stays text, for validation to refuse. */
function convertNumber(text: string): number | string {
	return /^-?\d+(?:\.\d+)?$/v.test(text.trim()) ? Number(text) : text;
}

/** Collects parts of a draft, each with the field that it came from. */
class DraftBuilder {
	static create(typed: TypedFields): DraftBuilder {
		return new DraftBuilder(typed);
	}

	readonly fieldIds = new Map<string, string>();
	readonly #typed: TypedFields;

	private constructor(typed: TypedFields) {
		this.#typed = typed;
	}

	readText(id: string, path: string): string {
		this.fieldIds.set(path, id);
		return (this.#typed.get(id) ?? '').trim();
	}

	readNumber(id: string, path: string): number | string {
		return convertNumber(this.readText(id, path));
	}

	readChecked(id: string, path: string): boolean {
		return this.readText(id, path) !== '';
	}

	isChecked(id: string): boolean {
		return (this.#typed.get(id) ?? '') !== '';
	}
}

function createCalls(builder: DraftBuilder, service: Policy['services'][number], path: string) {
	const calls: unknown[] = [];
	for (const call of service.calls) {
		if (builder.isChecked(callFieldId(service.name, call.name, 'remove'))) {
			continue;
		}

		const callPath = `${path}.calls[${calls.length}]`;
		const readId = (field: string) => callFieldId(service.name, call.name, field);
		const once = builder.readChecked(readId('once'), `${callPath}.once`);
		calls.push({
			...call,
			importance: builder.readText(readId('importance'), `${callPath}.importance`),
			once,
			// A once call is neither idempotent nor hedged.
			idempotent: call.idempotent && !once,
			hedge: call.hedge && !once,
		});
	}

	const newId = (field: string) => newCallFieldId(service.name, field);
	if (!builder.isChecked(newId('name'))) {
		return calls;
	}

	const callPath = `${path}.calls[${calls.length}]`;
	calls.push({
		name: builder.readText(newId('name'), `${callPath}.name`),
		method: builder.readText(newId('method'), `${callPath}.method`),
		path: builder.readText(newId('path'), `${callPath}.path`),
		importance: builder.readText(newId('importance'), `${callPath}.importance`),
		once: builder.readChecked(newId('once'), `${callPath}.once`),
	});
	return calls;
}

function createService(builder: DraftBuilder, service: Policy['services'][number], path: string) {
	const read = (field: string) =>
		builder.readNumber(serviceFieldId(service.name, field), `${path}.${field}`);
	const kindId = serviceFieldId(service.name, 'admission.kind');
	return {
		...service,
		slotsPerServer: read('slotsPerServer'),
		connectionsPerServer: read('connectionsPerServer'),
		admission: {
			...service.admission,
			kind: builder.readText(kindId, `${path}.admission.kind`),
			maxQueued: read('admission.maxQueued'),
			targetDelayMs: read('admission.targetDelayMs'),
			longShare: read('admission.longShare'),
		},
		calls: createCalls(builder, service, path),
	};
}

/**
 * Creates the document that the form stands for. It is not validated yet.
 *
 * @example
 * const draft = createDraft(base.document, typed);
 */
export function createDraft(base: Policy, typed: TypedFields): Draft {
	const builder = DraftBuilder.create(typed);
	const services: unknown[] = [];
	for (const service of base.services) {
		services.push(createService(builder, service, `services[${services.length}]`));
	}

	if (builder.isChecked(newServiceFieldId)) {
		const name = builder.readText(newServiceFieldId, `services[${services.length}].name`);
		services.push({name});
	}

	return {document: {...base, services}, fieldIds: builder.fieldIds};
}
