/** Drives a small mesh of sidecars in one process, to profile what a request costs. */
import process from 'node:process';
import {MeshStandIn} from '../platform/testing/mesh-stand-in.ts';

const requests = 20_000;
const concurrency = 20;

const mesh = await MeshStandIn.start({
	routes: [{name: 'shop', type: 'idempotent'}],
	instances: [
		{service: 'other', workMs: 0},
		{service: 'shop', workMs: 0, slots: 100},
	],
});
const before = process.cpuUsage();
let sent = 0;
async function askInTurn(): Promise<void> {
	while (sent < requests) {
		sent++;
		await mesh.sendRequest(0, `/shop/${sent}`);
	}
}

await Promise.all(Array.from({length: concurrency}, askInTurn));
const used = process.cpuUsage(before);
const micros = (used.user + used.system) / requests;
process.stdout.write(`${Math.round(micros)} µs a request, stand-ins and callers included\n`);
await mesh.stop();
