/**
 * What a simulated daemon needs of the world around it.
 */
import {type Endpoint} from '../../src/membership/messages.ts';
import {type PolicyStore} from '../../src/policy/policy-store.ts';
import {type PolicyVersion} from '../../src/policy/types.ts';
import {type SimClock} from './sim-clock.ts';
import {type SimDaemon} from './sim-daemon.ts';
import {type SimNetwork} from './sim-network.ts';

/** Bytes of HTTP around one message, as measured on the control port. */
export const httpOverheadBytes = 350;

export type SimParts = {
	readonly clock: SimClock;
	readonly network: SimNetwork;
	readonly random: () => number;
	readonly store: PolicyStore;
	/** Time of one operation of the table. */
	readonly tableDelayMs: number;
	readonly canReachTable: () => boolean;
	/** Endpoints of a few daemons, as the platform's table would name them. */
	readonly listSeeds: () => readonly Endpoint[];
	/** Finds the daemon that listens at an endpoint now. */
	readonly findDaemon: (endpoint: Endpoint) => SimDaemon | undefined;
	/** Called when a version comes into force; throws on a step backwards. */
	readonly onAdopt?: (daemon: SimDaemon, version: PolicyVersion) => void;
	/** Called when a daemon starts to serve. */
	readonly onReady?: (daemon: SimDaemon) => void;
};
