/**
 * The built-in cautious policy, in force while a daemon has neither the table nor a peer to ask.
 */
import {computeDigest} from './digest.ts';
import {type AdmissionPolicy, type CallRule, type Policy, type ServicePolicy} from './schema.ts';
import {type PolicyVersion} from './types.ts';

const cautiousAdmission: AdmissionPolicy = {
	kind: 'adaptive',
	maxQueued: 20,
	targetDelayMs: 20,
	longShare: 0.5,
};

/** Rule for calls that no rule of the document matches. */
export const defaultCallRule: CallRule = {
	name: '*',
	method: '*',
	path: '/*',
	importance: 'low',
	once: false,
	idempotent: false,
	sizeClass: 'learned',
	deadlineMs: 2000,
	maxBodyBytes: 1_048_576,
	hedge: false,
	needs: [],
};

const cautiousPolicy: Policy = {
	services: [],
	callers: [],
	anonymous: {allowed: true, maxImportance: 'low'},
	retries: {kind: 'allowance', perRequest: 1, maxDepth: 8},
	routing: {kind: 'measured'},
	link: {bitsPerSecond: 30_000_000, callShare: 0.5},
	once: {keepSeconds: 604_800, maxTableAnswerBytes: 16_384, maxAnswerBytes: 4_194_304},
	objectives: [],
};

/** Version 0: no service named, few slots, one retry, calls stay in their region. */
export const builtInVersion: PolicyVersion = {
	version: 0,
	previousDigest: '',
	changeId: 'built-in',
	author: 'built-in',
	appliedAtMs: 0,
	document: cautiousPolicy,
	digest: computeDigest({
		version: 0,
		previousDigest: '',
		changeId: 'built-in',
		document: cautiousPolicy,
	}),
};

/**
 * Creates the policy of a service that the document does not name.
 *
 * @example
 * const policy = createCautiousService('catalogue');
 */
export function createCautiousService(name: string): ServicePolicy {
	return {
		name,
		slotsPerServer: 10,
		connectionsPerServer: 50,
		admission: cautiousAdmission,
		otherRegion: false,
		maxEjectedShare: 0.3,
		calls: [],
	};
}
