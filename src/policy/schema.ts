/**
 * Schema of the policy document; types and defaults come from it.
 */
import {z} from 'zod';

const nameSchema = z
	.string()
	.regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'use lower-case letters, digits and hyphens');
const importanceSchema = z.enum(['background', 'low', 'normal', 'high', 'critical']);

/** One rule for calls of a service; the first whose method and path match decides. */
export const callRuleSchema = z.strictObject({
	name: nameSchema,
	method: z
		.string()
		.regex(/^[A-Z]+$|^\*$/v, 'use an HTTP method or *')
		.default('*'),
	/** Path template; `:name` matches one segment and a trailing `*` the rest. */
	path: z.string().startsWith('/', 'a path starts with /').default('/*'),
	importance: importanceSchema.default('normal'),
	/** A once call runs at most once per idempotency key. */
	once: z.boolean().default(false),
	idempotent: z.boolean().default(false),
	sizeClass: z.enum(['short', 'long', 'learned']).default('learned'),
	/** Milliseconds from the origin to the last byte. */
	deadlineMs: z.int().min(10).max(600_000).default(2000),
	maxBodyBytes: z.int().min(0).max(1_073_741_824).default(1_048_576),
	hedge: z.boolean().default(false),
	/** Services that this call is known to need further down. */
	needs: z.array(nameSchema).default([]),
});

export const admissionSchema = z.strictObject({
	kind: z.enum(['none', 'fixed', 'adaptive']).default('adaptive'),
	maxQueued: z.int().min(0).max(100_000).default(200),
	/** Longest queueing delay in milliseconds that is not taken for overload. */
	targetDelayMs: z.int().min(1).max(10_000).default(20),
	/** Share of the slots that long calls may hold. */
	longShare: z.number().min(0.05).max(1).default(0.5),
});

export const serviceSchema = z.strictObject({
	name: nameSchema,
	slotsPerServer: z.int().min(1).max(10_000).default(100),
	connectionsPerServer: z.int().min(1).max(100_000).default(700),
	admission: admissionSchema.prefault({}),
	/** Whether calls may go to the other region when the own one has no server for them. */
	otherRegion: z.boolean().default(false),
	/** Largest share of a service's servers that may be ejected at once. */
	maxEjectedShare: z.number().min(0).max(0.9).default(0.3),
	calls: z.array(callRuleSchema).default([]),
});

export const callerSchema = z.strictObject({
	name: nameSchema,
	/** SHA-256 of the caller's bearer token, in lower-case hexadecimal. */
	tokenSha256: z.string().regex(/^[\da-f]{64}$/v, 'use 64 hexadecimal digits'),
	/** Ceiling on the importance of this caller's calls. */
	maxImportance: importanceSchema.default('critical'),
	/** Services that this caller may call; empty means all. */
	services: z.array(nameSchema).default([]),
});

export const objectiveSchema = z.strictObject({
	service: nameSchema,
	/** Caller name or `*`. */
	caller: z.string().default('*'),
	/** Share of requests that must get a whole answer in time. */
	target: z.number().min(0.5).max(0.999_99).default(0.999),
	latencyMs: z.int().min(1).max(600_000).default(1000),
	windowDays: z.int().min(1).max(90).default(30),
});

export const policySchema = z.strictObject({
	services: z.array(serviceSchema).min(1),
	callers: z.array(callerSchema).default([]),
	anonymous: z
		.strictObject({
			allowed: z.boolean().default(true),
			maxImportance: importanceSchema.default('low'),
		})
		.prefault({}),
	retries: z
		.strictObject({
			/** `allowance` bounds a whole chain; `perHop` lets each hop retry, as a baseline to measure against. */
			kind: z.enum(['allowance', 'perHop']).default('allowance'),
			/** Retries and hedges that one original request, or with `perHop` each hop, may cause. */
			perRequest: z.int().min(0).max(20).default(3),
			/** Longest chain of calls. */
			maxDepth: z.int().min(1).max(32).default(8),
		})
		.prefault({}),
	routing: z
		.strictObject({
			/** `measured` chooses by latency and calls in flight; `roundRobin` in turn, as a baseline. */
			kind: z.enum(['measured', 'roundRobin']).default('measured'),
		})
		.prefault({}),
	link: z
		.strictObject({
			bitsPerSecond: z.int().min(1000).max(100_000_000_000).default(30_000_000),
			/** Share of the region link that calls may use. */
			callShare: z.number().min(0).max(1).default(0.8),
		})
		.prefault({}),
	once: z
		.strictObject({
			/** Seconds after which a finished claim and its answer are removed. */
			keepSeconds: z.int().min(3600).max(31_536_000).default(604_800),
			/** Largest answer in bytes that is stored in the table. */
			maxTableAnswerBytes: z.int().min(0).max(300_000).default(16_384),
			/** Largest answer in bytes that is stored at all. */
			maxAnswerBytes: z.int().min(0).max(104_857_600).default(4_194_304),
		})
		.prefault({}),
	objectives: z.array(objectiveSchema).default([]),
});

export type Policy = z.infer<typeof policySchema>;
export type PolicyInput = z.input<typeof policySchema>;
export type ServicePolicy = z.infer<typeof serviceSchema>;
export type AdmissionPolicy = z.infer<typeof admissionSchema>;
export type CallRule = z.infer<typeof callRuleSchema>;
export type CallerPolicy = z.infer<typeof callerSchema>;
export type Objective = z.infer<typeof objectiveSchema>;
