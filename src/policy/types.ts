/**
 * Types of a policy version and of the history it stands in.
 */
import {type Policy} from './schema.ts';

/** One accepted version of the policy document. */
export type PolicyVersion = {
	/** Consecutive, from 1; 0 is the built-in cautious policy. */
	readonly version: number;
	/** SHA-256 over the canonical document, the version, the change id and `previousDigest`. */
	readonly digest: string;
	/** Digest of the version before; empty for version 1. */
	readonly previousDigest: string;
	/** Names the apply, so that a lost answer can be settled by reading. */
	readonly changeId: string;
	readonly author: string;
	/** Wall time of the apply in milliseconds since 1970. */
	readonly appliedAtMs: number;
	readonly document: Policy;
};

/** The version in force; version 0 with an empty digest before the first apply. */
export type PolicyHead = {readonly version: number; readonly digest: string};

/** A change that an operator asks for. */
export type ApplyRequest = {
	/** A document that passed validation. */
	readonly document: Policy;
	/** Version that the operator started from; 0 before the first apply. */
	readonly baseVersion: number;
	/** Names the change; the same id sent twice is applied once. */
	readonly changeId: string;
	readonly author: string;
};
