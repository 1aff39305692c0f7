/**
 * The HTTP client: undici's pool and agent alone. The rest of undici would stay in memory unused.
 */
import {type Agent, type Dispatcher, type Pool} from 'undici';
// @ts-expect-error -- The module has no types of its own; the type comes from the package.
import SlimAgent from 'undici/lib/dispatcher/agent.js';
// @ts-expect-error -- The module has no types of its own; the type comes from the package.
import SlimPool from 'undici/lib/dispatcher/pool.js';
// @ts-expect-error -- The module has no types of its own; the type comes from the package.
import request from 'undici/lib/api/api-request.js';

export type {Dispatcher} from 'undici';

/** Connections to one origin. */
export type HttpPool = Pool;

/** Connections to many origins. */
export type HttpAgent = Agent;

const PoolClass = SlimPool as typeof Pool;
const AgentClass = SlimAgent as typeof Agent;

// The package's own entry file adds the methods in the same way.
PoolClass.prototype.request = request as Dispatcher['request'];
AgentClass.prototype.request = request as Dispatcher['request'];

/**
 * Creates a pool of connections to one origin.
 *
 * @example
 * const pool = createPool('http://127.0.0.1:8000', {connections: 10});
 */
export function createPool(origin: string, options: Pool.Options): HttpPool {
	return new PoolClass(origin, options);
}

/**
 * Creates an agent with a pool for each origin that it is asked for.
 *
 * @example
 * const agent = createAgent({connections: 2});
 */
export function createAgent(options: Agent.Options): HttpAgent {
	return new AgentClass(options);
}
