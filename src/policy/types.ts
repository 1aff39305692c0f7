/**
 * Types of policy versions and of requests to apply a change.
 */
import {type Policy} from './schema.ts';

/** One accepted version of the policy document. */
export type PolicyVersion = {
	/** Consecutive, from 1; 0 is the built-in fallback policy. */
	readonly version: number;
	/** SHA-256 over the canonical document, the version, the change id and `previousDigest`. */
	readonly digest: string;
	/** Digest of the previous version; empty for version 1. */
	readonly previousDigest: string;
	/** Identifies the change, so that a read can determine whether it was applied when the answer was lost. */
	readonly changeId: string;
	readonly author: string;
	/** Unix time of the apply in milliseconds. */
	readonly appliedAtMs: number;
	readonly document: Policy;
};

/** The version in force; version 0 with an empty digest before the first apply. */
export type PolicyHead = {readonly version: number; readonly digest: string};

/** A change that an operator requests. */
export type ApplyRequest = {
	/** A document that passed validation. */
	readonly document: Policy;
	/** Version that the change is based on; 0 before the first apply. */
	readonly baseVersion: number;
	/** Identifies the change; if the same id is sent twice, it is applied once. */
	readonly changeId: string;
	readonly author: string;
};
