/** Measures the processor time per request of a small mesh of sidecars that runs in one process. */
import process from 'node:process';
import {MeshStandIn} from '../platform/testing/mesh-stand-in.ts';

const requestCount = 20_000;
const concurrency = 20;

const mesh = await MeshStandIn.start({
	routes: [{name: 'shop', type: 'idempotent'}],
	instances: [
		{service: 'other', workMs: 0},
		{service: 'shop', workMs: 0, slots: 100},
	],
});
const cpuUsageAtStart = process.cpuUsage();
let sent = 0;
async function sendRequests(): Promise<void> {
	while (sent < requestCount) {
		sent++;
		await mesh.sendRequest(0, `/shop/${sent}`);
	}
}

await Promise.all(Array.from({length: concurrency}, sendRequests));
const cpuUsage = process.cpuUsage(cpuUsageAtStart);
const cpuMicrosecondsPerRequest = (cpuUsage.user + cpuUsage.system) / requestCount;
process.stdout.write(
	`${Math.round(cpuMicrosecondsPerRequest)} µs a request, stand-ins and callers included\n`,
);
await mesh.stop();
