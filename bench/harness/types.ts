/**
 * Specification of a test bed, whose platform stand-in, backend servers and daemons run as local
 * processes.
 */
import {type Route} from '../../stand-ins/backend/types.ts';
import {type PolicyInput} from '../../src/policy/schema.ts';

/** A backend server and the daemon beside it. */
export type ServerSpec = {
	readonly server: string;
	readonly service: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly slots: number;
	readonly maxConnections: number;
	readonly routes: readonly Route[];
};

export type TestBedSpec = {
	readonly servers: readonly ServerSpec[];
	readonly policy: PolicyInput;
	readonly seed: number;
};
