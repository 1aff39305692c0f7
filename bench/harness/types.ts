/**
 * Types of a test bed: platform, backend servers and daemons as processes on this machine.
 */
import {type Route} from '../../stand-ins/backend/types.ts';
import {type PolicyInput} from '../../src/policy/schema.ts';

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
