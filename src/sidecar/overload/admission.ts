/** Decides at the entry whether a request is worth starting. */
import {type Route} from '../types.ts';

export type AdmissionVerdict =
	| {readonly kind: 'admitted'}
	| {readonly kind: 'shed'; readonly reason: string; readonly retryAfterMs: number};

export type Admission = {
	decide(route: Route, service: string, nowMs: number): AdmissionVerdict;
};

/** Admits everything. */
export const openAdmission: Admission = {
	decide: () => ({kind: 'admitted'}),
};
