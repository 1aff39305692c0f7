/** Finds ports for a case, below those that the system hands out for outgoing connections. */
import net from 'node:net';

const firstPort = 12_000;
const portCount = 20_000;
const maxTries = 1000;

const found = new Set<number>();

/** Finds ports on which nothing listens; none is returned twice. */
export async function findFreePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	for (let tries = 0; ports.length < count && tries < maxTries; tries++) {
		const port = firstPort + Math.floor(Math.random() * portCount);
		if (!found.has(port) && (await isFree(port))) {
			found.add(port);
			ports.push(port);
		}
	}

	if (ports.length < count) {
		throw new Error(`only ${ports.length} of ${count} ports are free`);
	}

	return ports;
}

async function isFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = net.createServer();
		server.on('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
