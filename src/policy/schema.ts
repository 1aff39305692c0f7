/**
 * Schema of the policy document, with its defaults and types.
 *
 * The descriptions are printed into the generated reference pages.
 */
import {z} from 'zod';

const nameSchema = z
	.string()
	.regex(/^[a-z\d][a-z\d\-]{0,62}$/v, 'use lower-case letters, digits and hyphens');
const importanceSchema = z.enum(['background', 'low', 'normal', 'high', 'critical']);

/** Call rule of a service; the first rule whose method and path match applies. */
export const callRuleSchema = z.strictObject({
	name: nameSchema.describe('Name of the rule, unique in its service'),
	method: z
		.string()
		.regex(/^[A-Z]+$|^\*$/v, 'use an HTTP method or *')
		.default('*')
		.describe('HTTP method that the rule matches, or * for any'),
	path: z
		.string()
		.startsWith('/', 'a path starts with /')
		.default('/*')
		.describe('Path template; `:name` matches one segment and a trailing `*` all further segments'),
	importance: importanceSchema
		.default('normal')
		.describe('Importance of the calls; overload sheds calls of lower importance first'),
	once: z.boolean().default(false).describe('Whether a call runs at most once per idempotency key'),
	idempotent: z
		.boolean()
		.default(false)
		.describe('Whether a call may safely run twice, and so be retried'),
	sizeClass: z
		.enum(['short', 'long', 'learned'])
		.default('learned')
		.describe('How long a call holds a slot; `learned` derives it from measured service times'),
	deadlineMs: z
		.int()
		.min(10)
		.max(600_000)
		.default(2000)
		.describe('Milliseconds from the origin of the call to the last byte of its answer'),
	maxBodyBytes: z
		.int()
		.min(0)
		.max(1_073_741_824)
		.default(1_048_576)
		.describe('Largest request body in bytes'),
	hedge: z
		.boolean()
		.default(false)
		.describe('Whether a slow call may be sent to a second server; idempotent calls only'),
	needs: z
		.array(nameSchema)
		.default([])
		.describe('Downstream services that the call is known to need'),
});

export const admissionSchema = z.strictObject({
	kind: z
		.enum(['none', 'fixed', 'adaptive'])
		.default('adaptive')
		.describe('Limit on running calls: none, the configured slots, or adapted to measured latency'),
	maxQueued: z
		.int()
		.min(0)
		.max(100_000)
		.default(200)
		.describe('Maximum number of requests that wait for a slot'),
	targetDelayMs: z
		.int()
		.min(1)
		.max(10_000)
		.default(20)
		.describe('Longest queueing delay in milliseconds that does not count as overload'),
	longShare: z
		.number()
		.min(0.05)
		.max(1)
		.default(0.5)
		.describe('Share of the slots that long calls may hold'),
});

export const serviceSchema = z.strictObject({
	name: nameSchema.describe("Name of the service; the first segment of a caller's path"),
	slotsPerServer: z
		.int()
		.min(1)
		.max(10_000)
		.default(100)
		.describe('Requests that one backend server runs at the same time'),
	connectionsPerServer: z
		.int()
		.min(1)
		.max(100_000)
		.default(700)
		.describe('Connections that one backend server accepts'),
	admission: admissionSchema.prefault({}).describe('Admission control in front of each server'),
	otherRegion: z
		.boolean()
		.default(false)
		.describe('Whether calls may go to the other region if the local one has no available server'),
	maxEjectedShare: z
		.number()
		.min(0)
		.max(0.9)
		.default(0.3)
		.describe('Largest share of the servers that may be ejected at the same time'),
	calls: z
		.array(callRuleSchema)
		.default([])
		.describe('Call rules; the first whose method and path match applies'),
});

export const callerSchema = z.strictObject({
	name: nameSchema.describe('Name of the caller'),
	tokenSha256: z
		.string()
		.regex(/^[\da-f]{64}$/v, 'use 64 hexadecimal digits')
		.describe("SHA-256 of the caller's bearer token, in lower-case hexadecimal"),
	maxImportance: importanceSchema
		.default('critical')
		.describe("Highest importance that this caller's calls may have"),
	services: z
		.array(nameSchema)
		.default([])
		.describe('Services that this caller may call; empty means all'),
});

export const objectiveSchema = z.strictObject({
	service: nameSchema.describe('Service to which the objective applies'),
	caller: z.string().default('*').describe('Caller name, or `*` for all callers'),
	target: z
		.number()
		.min(0.5)
		.max(0.999_99)
		.default(0.999)
		.describe('Share of calls that must get a complete answer in time'),
	latencyMs: z
		.int()
		.min(1)
		.max(600_000)
		.default(1000)
		.describe('Milliseconds within which an answer is in time'),
	windowDays: z
		.int()
		.min(1)
		.max(90)
		.default(30)
		.describe('Days over which the error budget is computed'),
});

export const policySchema = z.strictObject({
	services: z.array(serviceSchema).min(1).describe('The services'),
	callers: z.array(callerSchema).default([]).describe('Callers that authenticate with a token'),
	anonymous: z
		.strictObject({
			allowed: z.boolean().default(true).describe('Whether callers without a token are served'),
			maxImportance: importanceSchema
				.default('low')
				.describe('Highest importance that their calls may have'),
		})
		.prefault({})
		.describe('Callers without a token'),
	retries: z
		.strictObject({
			kind: z
				.enum(['allowance', 'perHop'])
				.default('allowance')
				.describe(
					'`allowance` bounds the retries of a whole call chain; `perHop` lets each hop retry, as a baseline for comparison',
				),
			perRequest: z
				.int()
				.min(0)
				.max(20)
				.default(3)
				.describe(
					'Maximum number of retries and hedges for one original request, or with `perHop` for each hop',
				),
			maxDepth: z.int().min(1).max(32).default(8).describe('Maximum length of a chain of calls'),
		})
		.prefault({})
		.describe('Bound on retries'),
	routing: z
		.strictObject({
			kind: z
				.enum(['measured', 'roundRobin'])
				.default('measured')
				.describe(
					'`measured` chooses by latency and calls in flight; `roundRobin` takes turns, as a baseline for comparison',
				),
		})
		.prefault({})
		.describe('Choice of servers'),
	link: z
		.strictObject({
			bitsPerSecond: z
				.int()
				.min(1000)
				.max(100_000_000_000)
				.default(30_000_000)
				.describe('Capacity of the region link in bits a second'),
			callShare: z
				.number()
				.min(0)
				.max(1)
				.default(0.8)
				.describe('Share of the region link that calls may use'),
		})
		.prefault({})
		.describe('Link between the regions'),
	once: z
		.strictObject({
			keepSeconds: z
				.int()
				.min(3600)
				.max(31_536_000)
				.default(604_800)
				.describe('Seconds after which a completed claim and its answer are removed'),
			maxTableAnswerBytes: z
				.int()
				.min(0)
				.max(300_000)
				.default(16_384)
				.describe(
					'Largest answer in bytes that is stored in the table; a larger one is stored as an object',
				),
			maxAnswerBytes: z
				.int()
				.min(0)
				.max(104_857_600)
				.default(4_194_304)
				.describe('Largest answer in bytes that is stored at all'),
		})
		.prefault({})
		.describe('Records of calls that run at most once'),
	objectives: z.array(objectiveSchema).default([]).describe('Service-level objectives'),
});

export type Policy = z.infer<typeof policySchema>;
export type PolicyInput = z.input<typeof policySchema>;
export type ServicePolicy = z.infer<typeof serviceSchema>;
export type AdmissionPolicy = z.infer<typeof admissionSchema>;
export type CallRule = z.infer<typeof callRuleSchema>;
export type CallerPolicy = z.infer<typeof callerSchema>;
export type Objective = z.infer<typeof objectiveSchema>;
