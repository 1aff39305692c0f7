/**
 * The built-in fallback policy with conservative limits, in force while a daemon can reach neither the
 * table nor a peer.
 */
import {computeDigest} from './digest.ts';
import {type AdmissionPolicy, type CallRule, type Policy, type ServicePolicy} from './schema.ts';
import {type PolicyVersion} from './types.ts';

const fallbackAdmission: AdmissionPolicy = {
	kind: 'adaptive',
	maxQueued: 20,
	targetDelayMs: 20,
	longShare: 0.5,
};

/** Call rule for calls that match no rule of the document. */
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

const fallbackPolicy: Policy = {
	services: [],
	callers: [],
	anonymous: {allowed: true, maxImportance: 'low'},
	retries: {kind: 'allowance', perRequest: 1, maxDepth: 8},
	routing: {kind: 'measured'},
	link: {bitsPerSecond: 30_000_000, callShare: 0.5},
	once: {keepSeconds: 604_800, maxTableAnswerBytes: 16_384, maxAnswerBytes: 4_194_304},
	objectives: [],
};

/** Version 0: no services, few slots, one retry, and no calls to the other region. */
export const builtInVersion: PolicyVersion = {
	version: 0,
	previousDigest: '',
	changeId: 'built-in',
	author: 'built-in',
	appliedAtMs: 0,
	document: fallbackPolicy,
	digest: computeDigest({
		version: 0,
		previousDigest: '',
		changeId: 'built-in',
		document: fallbackPolicy,
	}),
};

/**
 * Creates the policy for a service that is not in the document.
 *
 * @example
 * const policy = createFallbackServicePolicy('catalogue');
 */
export function createFallbackServicePolicy(name: string): ServicePolicy {
	return {
		name,
		slotsPerServer: 10,
		connectionsPerServer: 50,
		admission: fallbackAdmission,
		otherRegion: false,
		maxEjectedShare: 0.3,
		calls: [],
	};
}
