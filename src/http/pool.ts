/**
 * HTTP client: the pool and the agent of undici. Importing all of undici would keep unused modules in
 * memory.
 */
import {type Agent, type Dispatcher, type Pool} from 'undici';
// @ts-expect-error -- The module has no type declarations; the type is imported from the package.
import UndiciAgent from 'undici/lib/dispatcher/agent.js';
// @ts-expect-error -- The module has no type declarations; the type is imported from the package.
import UndiciPool from 'undici/lib/dispatcher/pool.js';
// @ts-expect-error -- The module has no type declarations; the type is imported from the package.
import request from 'undici/lib/api/api-request.js';

export type {Dispatcher} from 'undici';

/** Connection pool for one origin. */
export type HttpPool = Pool;

/** Connection pools for many origins. */
export type HttpAgent = Agent;

const PoolClass = UndiciPool as typeof Pool;
const AgentClass = UndiciAgent as typeof Agent;

// The package's entry file, which is not imported, adds the method in the same way.
PoolClass.prototype.request = request as Dispatcher['request'];
AgentClass.prototype.request = request as Dispatcher['request'];

/**
 * Creates a connection pool for one origin.
 *
 * @example
 * const pool = createPool('http://127.0.0.1:8000', {connections: 10});
 */
export function createPool(origin: string, options: Pool.Options): HttpPool {
	return new PoolClass(origin, options);
}

/**
 * Creates an agent that keeps a connection pool for each origin it sends requests to.
 *
 * @example
 * const agent = createAgent({connections: 2});
 */
export function createAgent(options: Agent.Options): HttpAgent {
	return new AgentClass(options);
}
