/**
 * Dependencies of a simulated daemon on its environment.
 */
import {type Endpoint} from '../../src/membership/messages.ts';
import {type PolicyStore} from '../../src/policy/policy-store.ts';
import {type PolicyVersion} from '../../src/policy/types.ts';
import {type SimClock} from './sim-clock.ts';
import {type SimDaemon} from './sim-daemon.ts';
import {type SimNetwork} from './sim-network.ts';

/** HTTP overhead of one message on the control port. */
export const httpOverheadBytes = 350;

export type SimDaemonDependencies = {
	readonly clock: SimClock;
	readonly network: SimNetwork;
	readonly random: () => number;
	readonly store: PolicyStore;
	/** Duration of one table read. */
	readonly tableDelayMs: number;
	readonly canReachTable: () => boolean;
	/** Lists endpoints of a few daemons, in place of the seed rows of the platform's table. */
	readonly listSeeds: () => readonly Endpoint[];
	/** Finds the daemon that currently listens at an endpoint. */
	readonly findDaemon: (endpoint: Endpoint) => SimDaemon | undefined;
	/** Called when a daemon puts a policy version in force. */
	readonly onAdopt?: (daemon: SimDaemon, version: PolicyVersion) => void;
	/** Called when a daemon is ready to serve. */
	readonly onReady?: (daemon: SimDaemon) => void;
};
