/**
 * Compiles a policy document for the lookups that each call needs.
 */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {createFallbackServicePolicy, defaultCallRule} from './built-in.ts';
import {type CallRule, type CallerPolicy, type Policy, type ServicePolicy} from './schema.ts';

type CompiledRule = {
	readonly rule: CallRule;
	readonly method: string;
	/** An undefined segment matches any segment. */
	readonly segments: ReadonlyArray<string | undefined>;
	/** Whether the template ends in `*`, which matches any further segments. */
	readonly hasTrailingWildcard: boolean;
};

type CompiledService = {
	readonly policy: ServicePolicy;
	readonly rules: readonly CompiledRule[];
};

type CompiledCaller = {readonly policy: CallerPolicy; readonly tokenDigest: Uint8Array};

/** Most fallback policies that are kept; bounds the memory used by requests with made-up service names. */
const maxFallbackServices = 256;

export class PolicyMatcher {
	/**
	 * @example
	 * const matcher = PolicyMatcher.create(version.document);
	 */
	static create(policy: Policy): PolicyMatcher {
		return new PolicyMatcher(policy);
	}

	readonly #services = new Map<string, CompiledService>();
	readonly #fallbackServices = new Map<string, ServicePolicy>();
	readonly #callers = new Map<string, CompiledCaller>();

	private constructor(readonly policy: Policy) {
		for (const service of policy.services) {
			const rules = service.calls.map(rule => compileRule(rule));
			this.#services.set(service.name, {policy: service, rules});
		}

		for (const caller of policy.callers) {
			const tokenDigest = Buffer.from(caller.tokenSha256, 'hex');
			this.#callers.set(caller.tokenSha256, {policy: caller, tokenDigest});
		}
	}

	/** Checks whether the document names the service. */
	hasService(service: string): boolean {
		return this.#services.has(service);
	}

	/**
	 * Finds the policy of a service, or the fallback policy if the document does not name it.
	 *
	 * @example
	 * const {slotsPerServer} = matcher.findService('catalogue');
	 */
	findService(service: string): ServicePolicy {
		const compiled = this.#services.get(service);
		if (compiled) {
			return compiled.policy;
		}

		const known = this.#fallbackServices.get(service);
		if (known) {
			return known;
		}

		const created = createFallbackServicePolicy(service);
		if (this.#fallbackServices.size < maxFallbackServices) {
			this.#fallbackServices.set(service, created);
		}

		return created;
	}

	/**
	 * Finds the first rule that matches a call, or the default rule `*`.
	 *
	 * @example
	 * const rule = matcher.findCallRule('commandes', 'POST', '/orders/12?rush=1');
	 */
	findCallRule(service: string, method: string, path: string): CallRule {
		const compiled = this.#services.get(service);
		if (!compiled || compiled.rules.length === 0) {
			return defaultCallRule;
		}

		const segments = parseSegments(path);
		for (const rule of compiled.rules) {
			if (isMatch(rule, method, segments)) {
				return rule.rule;
			}
		}

		return defaultCallRule;
	}

	/**
	 * Finds a caller by the SHA-256 of its token in lower-case hexadecimal.
	 *
	 * @example
	 * const caller = matcher.findCaller(tokenSha256);
	 */
	findCaller(tokenSha256: string): CallerPolicy | undefined {
		const found = this.#callers.get(tokenSha256);
		if (!found) {
			return undefined;
		}

		const digest = Buffer.from(tokenSha256, 'hex');
		const isEqual =
			digest.length === found.tokenDigest.length && timingSafeEqual(digest, found.tokenDigest);
		return isEqual ? found.policy : undefined;
	}

	/**
	 * Finds a caller by its bearer token.
	 *
	 * @example
	 * const caller = matcher.findCallerByToken(token);
	 */
	findCallerByToken(token: string): CallerPolicy | undefined {
		return this.findCaller(createHash('sha256').update(token).digest('hex'));
	}
}

function compileRule(rule: CallRule): CompiledRule {
	const parts = parseSegments(rule.path);
	const hasTrailingWildcard = parts.at(-1) === '*';
	const fixedParts = hasTrailingWildcard ? parts.slice(0, -1) : parts;
	const segments = fixedParts.map(part => (part.startsWith(':') ? undefined : part));
	return {rule, method: rule.method, segments, hasTrailingWildcard};
}

function isMatch(rule: CompiledRule, method: string, segments: readonly string[]): boolean {
	if (rule.method !== '*' && rule.method !== method) {
		return false;
	}

	if (
		rule.hasTrailingWildcard
			? segments.length < rule.segments.length
			: segments.length !== rule.segments.length
	) {
		return false;
	}

	for (const [index, expected] of rule.segments.entries()) {
		if (expected !== undefined && expected !== segments[index]) {
			return false;
		}
	}

	return true;
}

/** Parses the path of a URL into its non-empty segments, without the query. */
function parseSegments(path: string): string[] {
	const queryAt = path.indexOf('?');
	const plain = queryAt === -1 ? path : path.slice(0, queryAt);
	const segments: string[] = [];
	for (const segment of plain.split('/')) {
		if (segment !== '') {
			segments.push(segment);
		}
	}

	return segments;
}
