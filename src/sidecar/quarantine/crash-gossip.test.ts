/** BUDGET: what one guard knew did not reach the instances where the request came again. */
import test from 'ava';
import {decodeCrashUpdate} from './crash-message.ts';
import {CrashGossip} from './crash-gossip.ts';
import {CrashRecords} from './crash-records.ts';

/** Time after which all instances in touch must know. */
const contactMs = 4000;
const controlBytesPerSecond = 17_000;
const latencyMs = 35;
const guilty = '00000000000000aa';

type Task = {readonly atMs: number; readonly run: () => void};

/** Runs the gossip of a fleet in simulated time, with a seeded generator and lost messages. */
class GossipSimulation {
	static create(size: number, lossRate: number): GossipSimulation {
		return new GossipSimulation(size, lossRate);
	}

	nowMs = 0;
	readonly nodes: Array<{
		records: CrashRecords;
		gossip: CrashGossip;
		sentBytes: number;
		isUp: boolean;
	}> = [];

	#tasks: Task[] = [];
	#seed = 26;

	private constructor(
		size: number,
		private readonly lossRate: number,
	) {
		for (let index = 0; index < size; index++) {
			this.#addNode(size);
		}
	}

	drawRandom(): number {
		this.#seed = (this.#seed * 48_271) % 2_147_483_647;
		return this.#seed / 2_147_483_647;
	}

	injectCrash(index: number, event: string, digests: string[]): void {
		const {records, gossip} = this.nodes[index]!;
		gossip.broadcast(records.recordCrash(event, digests, this.nowMs));
	}

	runUntil(endMs: number): void {
		for (;;) {
			let next: Task | undefined;
			for (const task of this.#tasks) {
				if (next === undefined || task.atMs < next.atMs) {
					next = task;
				}
			}

			if (next === undefined || next.atMs > endMs) {
				this.nowMs = endMs;
				return;
			}

			const taken = next.atMs;
			const due = this.#tasks.filter(task => task.atMs === taken);
			this.#tasks = this.#tasks.filter(task => task.atMs !== taken);
			this.nowMs = taken;
			for (const {run} of due) {
				run();
			}
		}
	}

	countInformed(): number {
		return this.nodes.filter(({records}) => records.isQuarantined(guilty, this.nowMs)).length;
	}

	#schedule(delayMs: number, run: () => void): void {
		this.#tasks.push({atMs: Math.round(this.nowMs + delayMs), run});
	}

	#addNode(size: number): void {
		const records = CrashRecords.create();
		const gossip: CrashGossip = CrashGossip.create({
			timers: {
				setTimeout: (run, delayMs) => {
					this.#schedule(delayMs, run);
				},
				setInterval: (run, delayMs) => {
					const repeat = () => {
						run();
						this.#schedule(delayMs, repeat);
					};

					this.#schedule(Math.round(this.drawRandom() * 20) * 50, repeat);
					return () => {
						// The simulation ends with the test.
					};
				},
			},
			pickPeers: count =>
				Array.from({length: count}, () => String(Math.floor(this.drawRandom() * size))),
			send: (peer, text) => {
				node.sentBytes += text.length;
				if (this.drawRandom() >= this.lossRate) {
					this.#schedule(latencyMs, () => {
						this.#deliver(Number(peer), text);
					});
				}
			},
			listEntries: limit => records.list(this.nowMs, limit),
		});
		const node = {records, gossip, sentBytes: 0, isUp: true};
		this.nodes.push(node);
		gossip.start();
	}

	#deliver(peer: number, text: string): void {
		const {records, gossip, isUp} = this.nodes[peer]!;
		if (isUp) {
			gossip.broadcast(records.merge(decodeCrashUpdate(text), this.nowMs));
		}
	}
}

for (const size of [17, 200, 1400]) {
	test(`${size} instances know of a quarantined request within the time of contact, in bounded bytes`, t => {
		const simulation = GossipSimulation.create(size, 0.02);
		const beside = (first: number) =>
			Array.from({length: 40}, (_, index) => (first + index).toString(16).padStart(16, '0'));
		// One instance is cut off until later.
		simulation.nodes.at(-1)!.isUp = false;
		simulation.injectCrash(1, 'one', [guilty, ...beside(1000)]);
		simulation.runUntil(500);
		simulation.injectCrash(2, 'two', [guilty, ...beside(2000)]);
		simulation.runUntil(1000);
		simulation.injectCrash(3, 'three', [guilty, ...beside(3000)]);
		simulation.runUntil(1000 + contactMs);
		t.is(simulation.countInformed(), size - 1);

		simulation.nodes.at(-1)!.isUp = true;
		simulation.runUntil(1000 + 2 * contactMs);
		t.is(simulation.countInformed(), size);
		const perSecond = Math.max(...simulation.nodes.map(each => each.sentBytes)) / 9;
		t.true(perSecond < controlBytesPerSecond, `${perSecond} bytes a second`);
	});
}

test('a garbled message changes nothing', t => {
	const texts = [
		'{"crashEntries":[{"digest":"zz","events":[]}]}',
		'{"crashEntries":[{"digest":"00000000000000aa","events":[{"name":"one","ageMs":-1}]}]}',
		'{"crashEntries":[{"digest":"00000000000000aa","events":[{"name":1,"ageMs":1}]}]}',
		`{"crashEntries":[${Array.from({length: 129}, () => '{"digest":"00000000000000aa","events":[]}').join(',')}]}`,
		'{"crashEntries":{}}',
	];
	for (const text of texts) {
		t.throws(() => decodeCrashUpdate(text), {instanceOf: TypeError});
	}

	t.throws(() => decodeCrashUpdate('{"crashEntries":'), {instanceOf: SyntaxError});
});
