/**
 * Builds a policy document from a base document and the submitted fields of the form.
 */
import {type Policy} from '../../policy/schema.ts';
import {
	createCallFieldId,
	createNewCallFieldId,
	createServiceFieldId,
	newServiceFieldId,
} from './policy-form.ts';
import {type SubmittedFields} from './types.ts';

/** A policy document that is not validated yet. */
export type PolicyDraft = {
	readonly document: unknown;
	/** Field id of the input from which each path of the document was read. */
	readonly fieldIds: ReadonlyMap<string, string>;
};

/** Parses a decimal number. Other text is returned as it is, so that validation reports it. */
function parseNumber(text: string): number | string {
	return /^-?\d+(?:\.\d+)?$/v.test(text.trim()) ? Number(text) : text;
}

/** Reads submitted fields and records to which path of the draft each belongs. */
class DraftBuilder {
	static create(submitted: SubmittedFields): DraftBuilder {
		return new DraftBuilder(submitted);
	}

	readonly fieldIds = new Map<string, string>();
	readonly #submitted: SubmittedFields;

	private constructor(submitted: SubmittedFields) {
		this.#submitted = submitted;
	}

	readText(id: string, path: string): string {
		this.fieldIds.set(path, id);
		return (this.#submitted.get(id) ?? '').trim();
	}

	readNumber(id: string, path: string): number | string {
		return parseNumber(this.readText(id, path));
	}

	readCheckbox(id: string, path: string): boolean {
		return this.readText(id, path) !== '';
	}

	hasValue(id: string): boolean {
		return (this.#submitted.get(id) ?? '') !== '';
	}
}

function createCallRules(builder: DraftBuilder, service: Policy['services'][number], path: string) {
	const calls: unknown[] = [];
	for (const call of service.calls) {
		if (builder.hasValue(createCallFieldId(service.name, call.name, 'remove'))) {
			continue;
		}

		const callPath = `${path}.calls[${calls.length}]`;
		const createFieldId = (field: string) => createCallFieldId(service.name, call.name, field);
		const once = builder.readCheckbox(createFieldId('once'), `${callPath}.once`);
		calls.push({
			...call,
			importance: builder.readText(createFieldId('importance'), `${callPath}.importance`),
			once,
			// Validation refuses a once call that is idempotent or hedged.
			idempotent: call.idempotent && !once,
			hedge: call.hedge && !once,
		});
	}

	const createNewFieldId = (field: string) => createNewCallFieldId(service.name, field);
	if (!builder.hasValue(createNewFieldId('name'))) {
		return calls;
	}

	const callPath = `${path}.calls[${calls.length}]`;
	calls.push({
		name: builder.readText(createNewFieldId('name'), `${callPath}.name`),
		method: builder.readText(createNewFieldId('method'), `${callPath}.method`),
		path: builder.readText(createNewFieldId('path'), `${callPath}.path`),
		importance: builder.readText(createNewFieldId('importance'), `${callPath}.importance`),
		once: builder.readCheckbox(createNewFieldId('once'), `${callPath}.once`),
	});
	return calls;
}

function createServicePolicy(
	builder: DraftBuilder,
	service: Policy['services'][number],
	path: string,
) {
	const readNumber = (field: string) =>
		builder.readNumber(createServiceFieldId(service.name, field), `${path}.${field}`);
	const kindId = createServiceFieldId(service.name, 'admission.kind');
	return {
		...service,
		slotsPerServer: readNumber('slotsPerServer'),
		connectionsPerServer: readNumber('connectionsPerServer'),
		admission: {
			...service.admission,
			kind: builder.readText(kindId, `${path}.admission.kind`),
			maxQueued: readNumber('admission.maxQueued'),
			targetDelayMs: readNumber('admission.targetDelayMs'),
			longShare: readNumber('admission.longShare'),
		},
		calls: createCallRules(builder, service, path),
	};
}

/**
 * Creates the document that results from applying the submitted fields to the base document. It is not
 * validated yet.
 *
 * @example
 * const draft = createPolicyDraft(base.document, submitted);
 */
export function createPolicyDraft(base: Policy, submitted: SubmittedFields): PolicyDraft {
	const builder = DraftBuilder.create(submitted);
	const services: unknown[] = [];
	for (const service of base.services) {
		services.push(createServicePolicy(builder, service, `services[${services.length}]`));
	}

	if (builder.hasValue(newServiceFieldId)) {
		const name = builder.readText(newServiceFieldId, `services[${services.length}].name`);
		services.push({name});
	}

	return {document: {...base, services}, fieldIds: builder.fieldIds};
}
