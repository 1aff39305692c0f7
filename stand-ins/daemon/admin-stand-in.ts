/**
 * Administration port of a daemon without the daemon, for tests of the operators' tools.
 */
import {AdminTask} from '../../src/daemon/admin/admin-task.ts';
import {type Identity} from '../../src/daemon/identity.ts';
import {type Member} from '../../src/membership/types.ts';
import {builtInVersion} from '../../src/policy/built-in.ts';
import {type PolicyVersion} from '../../src/policy/types.ts';
import {Metrics} from '../../src/reporting/metrics.ts';

export const standInAdminKey = 'admin-key-0123456789';

const listenerOptions = {
	listenerName: 'admin',
	address: '127.0.0.1',
	port: 0,
	headerTimeoutMs: 5000,
	requestTimeoutMs: 5000,
	maxHeaderBytes: 16_384,
	maxConnections: 10,
	keepAliveMs: 1000,
};

/** Identity that the stand-in reports. */
export const standInIdentity: Identity = {
	server: 'commandes-1',
	service: 'commandes',
	dataCentre: 'est-a',
	region: 'qc-est',
	address: '127.0.0.1',
	instanceId: 'i-1',
	startedAtMs: Date.now() - 60_000,
};

/** Administration port with a policy and metrics that a test can set. */
export class AdminStandIn {
	/**
	 * @example
	 * const daemon = await AdminStandIn.open();
	 */
	static async open(): Promise<AdminStandIn> {
		const standIn = new AdminStandIn();
		await standIn.#admin.open(listenerOptions);
		return standIn;
	}

	readonly metrics = Metrics.create({server: standInIdentity.server});
	policy: PolicyVersion = builtInVersion;
	/** Drain requests received. */
	drainCount = 0;
	readonly #admin: AdminTask;

	private constructor() {
		this.#admin = AdminTask.create({
			adminKey: standInAdminKey,
			metrics: this.metrics,
			dependencies: {
				identity: standInIdentity,
				readPolicy: () => this.policy,
				readMembers: () => [this.#createMember()],
				readReport: () => ({
					server: standInIdentity.server,
					instanceId: standInIdentity.instanceId,
					admissionLevel: 3,
					isOverloadedBelow: false,
					slotsInUse: 4,
					slotLimit: 10,
					queued: 2,
					state: 'serving',
				}),
				isReady: () => true,
				drain: () => {
					this.drainCount++;
					this.close();
				},
			},
		});
	}

	get url(): string {
		return `http://127.0.0.1:${this.#admin.port}`;
	}

	close(): void {
		this.#admin.close();
	}

	#createMember(): Member {
		return {
			...standInIdentity,
			peerPort: 1,
			incarnation: 1,
			state: 'serving',
			policyVersion: this.policy.version,
		};
	}
}
