/**
 * Responses of a daemon's administration port.
 */
import {type GuardReport} from '../../call/types.ts';
import {type CounterSample} from '../../reporting/burn/types.ts';

/** Header that carries the administration key. */
export const adminKeyHeader = 'primrosevalve-admin-key';

export type AdminStatus = {
	readonly policy: {
		readonly version: number;
		readonly digest: string;
		/** Unix time in milliseconds at which the version was applied to the table. */
		readonly appliedAtMs: number;
	};
	readonly guard: GuardReport;
};

/** Call counters of one daemon; the client that reads them adds the time of the reading. */
export type AdminCounters = ReadonlyArray<Omit<CounterSample, 'atMs'>>;
