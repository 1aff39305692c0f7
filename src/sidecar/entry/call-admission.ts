/** Decides whether the entry sends a caller's request at all. */
import {type Route} from '../types.ts';
import {type EntryContext} from './entry-context.ts';

export type CallAdmission =
	| {readonly kind: 'admitted'; readonly isNested: boolean}
	| {
			readonly kind: 'shed';
			readonly reason: string;
			readonly retryAfterMs: number;
			readonly reportAgeMs: number;
	  };

/**
 * Counts a request towards the retry budget and the call ratios, and decides whether to admit it. Nested calls of
 * admitted work are not shed; until a guard has reported otherwise, any request may be one.
 *
 * @example
 * const admission = decideCallAdmission(ctx, route, 'catalogue', performance.now());
 */
export function decideCallAdmission(
	ctx: Pick<EntryContext, 'admission' | 'budget' | 'callRatios'>,
	route: Route,
	service: string,
	nowMs: number,
): CallAdmission {
	ctx.budget.recordRequest(service, nowMs);
	ctx.callRatios.recordOutbound(route.name, nowMs);
	const isNested = ctx.callRatios.isNested(route.name);
	if (isNested !== false) {
		return {kind: 'admitted', isNested: isNested === true};
	}

	const decision = ctx.admission.decide(route, service, nowMs);
	switch (decision.kind) {
		case 'admitted': {
			return {kind: 'admitted', isNested: false};
		}

		case 'shed': {
			return decision;
		}
	}
}
