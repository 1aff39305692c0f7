/**
 * Codec of stored rows: JSON lines for a closed hour, one JSON object for the current hour.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {BurnError} from './errors.ts';
import {type BurnRow} from './types.ts';

const countSchema = z.number().min(0);

const rowSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('calls'),
		fromMs: z.number(),
		toMs: z.number(),
		service: z.string(),
		caller: z.string(),
		total: countSchema,
		good: countSchema,
		isResolved: z.boolean(),
	}),
	z.object({
		kind: z.literal('reading'),
		fromMs: z.number(),
		toMs: z.number(),
		coveredShare: z.number().min(0).max(1),
	}),
]);

const sampleSchema = z.object({
	atMs: z.number(),
	server: z.string(),
	instanceId: z.string(),
	startedAtMs: z.number(),
	service: z.string(),
	caller: z.string(),
	total: countSchema,
	good: countSchema,
});

const currentHourSchema = z.object({
	/** Unix time in milliseconds of the start of the hour that the rows belong to. */
	hourStartMs: z.number(),
	lastReadingMs: z.number(),
	rows: z.array(rowSchema),
	samples: z.array(sampleSchema),
});

/** Rows of the current hour and the state of the collection, stored as one object. */
export type CurrentHour = z.infer<typeof currentHourSchema>;

/**
 * Encodes rows as JSON lines.
 *
 * @example
 * const text = encodeRows(rows);
 */
export function encodeRows(rows: readonly BurnRow[]): string {
	return rows.map(row => `${JSON.stringify(row)}\n`).join('');
}

/**
 * Decodes JSON lines into rows.
 *
 * @returns the rows, or an error that names the first malformed line
 * @example
 * const rows = decodeRows(text);
 */
export function decodeRows(text: string): Result<readonly BurnRow[], BurnError> {
	const rows: BurnRow[] = [];
	for (const [index, line] of text.split('\n').entries()) {
		if (line === '') {
			continue;
		}

		try {
			rows.push(rowSchema.parse(JSON.parse(line)));
		} catch (error) {
			return err(BurnError.create(`line ${index + 1} is malformed`, error));
		}
	}

	return ok(rows);
}

/**
 * Decodes the current hour.
 *
 * @example
 * const hour = decodeCurrentHour(text);
 */
export function decodeCurrentHour(text: string): Result<CurrentHour, BurnError> {
	try {
		return ok(currentHourSchema.parse(JSON.parse(text)));
	} catch (error) {
		return err(BurnError.create('cannot decode the current hour', error));
	}
}
