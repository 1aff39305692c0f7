/** Listeners, reply metadata and free ports for the tests of links. */
import net from 'node:net';
import process from 'node:process';
import {type LinkListener} from './link-exchange.ts';
import {type GuardPace, type ReplyMetadata} from './messages.ts';

/** Pace of a server without a limit. */
export const unlimitedPace: GuardPace = {limit: {kind: 'none'}, fill: 0};

/** Reply metadata of an idle guard. */
export const testMetadata: ReplyMetadata = {
	load: {running: 0, waiting: 0, limit: 1, pace: unlimitedPace},
	configVersion: 1,
	overloadReports: [],
	costs: undefined,
	isNested: undefined,
};

/** Starts work at once, as a punctual event loop does. */
export const immediateQueue = {
	submit(run: () => void) {
		run();
	},
};

function ignore(): void {
	// Tests override the events that they check.
}

/** Creates a listener that ignores all events without a handler in `handlers`. */
export function createTestListener(handlers: Partial<LinkListener>): LinkListener {
	return {
		handleMetadata: ignore,
		handleAnswer: ignore,
		handleData: ignore,
		handleEnd: ignore,
		handleRefusal: ignore,
		handleFailure: ignore,
		handleUnreachable: ignore,
		handleLost: ignore,
		handleTaken: ignore,
		...handlers,
	};
}

/**
 * Ports below those that the system hands out. Each test process has a block of its own, whose first port it holds: a port
 * that was found free, or of a server that is down for a moment, would otherwise be taken by another process.
 */
const firstPort = 10_000;
const portsPerProcess = 400;
const blockCount = 55;
let usedPorts = 0;
let claimedBlock: Promise<number> | undefined;

/** Finds unused ports on the loopback address. */
export async function findFreePorts(count: number): Promise<number[]> {
	claimedBlock ??= claimBlock(process.pid);
	const block = await claimedBlock;
	const ports: number[] = [];
	for (let tries = 0; ports.length < count && tries < portsPerProcess; tries++) {
		const port = block + 1 + (usedPorts++ % (portsPerProcess - 1));
		if (await isPortFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

/** Holds the first port of a block that no other process holds; returns that port. */
export async function claimBlock(processId: number): Promise<number> {
	for (let tries = 0; tries < blockCount; tries++) {
		const port = firstPort + ((processId + tries) % blockCount) * portsPerProcess;
		const server = net.createServer();
		const isClaimed = await new Promise<boolean>(resolve => {
			server.once('error', () => {
				resolve(false);
			});
			server.listen(port, '127.0.0.1', () => {
				resolve(true);
			});
		});
		if (isClaimed) {
			server.unref();
			return port;
		}
	}

	throw new Error(`each of the ${blockCount} blocks of ports from ${firstPort} on is in use`);
}

async function isPortFree(port: number): Promise<boolean> {
	const server = net.createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
