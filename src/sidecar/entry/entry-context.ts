/** Dependencies shared by all calls of an entry. */
import {type AdmissionController} from '../overload/admission-controller.ts';
import {type CallRatioEstimator} from '../overload/call-ratio-estimator.ts';
import {type CostTable} from '../overload/cost-table.ts';
import {type RetryBudget} from '../overload/retry-budget.ts';
import {type MemberView} from '../discovery/member-view.ts';
import {type Directory} from '../discovery/directory.ts';
import {type RouteTable} from '../discovery/route-table.ts';
import {type Guard} from '../guard/guard.ts';
import {type ReplyMetadata} from '../link/messages.ts';
import {type Logger} from '../../reporting/logger.ts';
import {type Quarantine} from '../quarantine/quarantine.ts';
import {type RequestLog} from '../reporting/request-log.ts';
import {type AcceptQueue} from '../scheduling/accept-queue.ts';
import {type RunQueue} from '../scheduling/run-queue.ts';
import {type HeadCodec, type Member} from '../types.ts';

export type EntryContext = {
	readonly codec: HeadCodec;
	readonly directory: Directory;
	readonly guard: Guard;
	readonly budget: RetryBudget;
	readonly admission: AdmissionController;
	readonly callRatios: CallRatioEstimator;
	readonly costs: CostTable;
	readonly log: RequestLog;
	readonly quarantine: Pick<Quarantine, 'has'>;
	/** Starts requests, after further input was read when the event loop lags. */
	readonly runQueue: Pick<RunQueue, 'submit'>;
	/** Connections of callers that wait to be accepted. */
	readonly acceptQueue: Pick<AcceptQueue, 'recordAccept'>;
	readonly logger: Logger;
	/** Routes of the active configuration; undefined until one is known. */
	readRoutes(): RouteTable | undefined;
	/** Service of the local server; requests of callers on this instance count as its requests. */
	readCallerService(): string;
	/** Whether the sidecar is stopping; answers then ask callers to reconnect to another instance. */
	isStopping(): boolean;
	/** Whether a new request is accepted that is answered within a time in any case; all are unless the sidecar stops. */
	canAccept(boundMs: number): boolean;
	/** Processes the metadata of a guard's reply. */
	handleMetadata(from: MemberView, route: string, metadata: ReplyMetadata): void;
	/** Processes a member announcement that came with a refusal. */
	handleMember(member: Member): void;
	createNonce(): string;
	random(): number;
};
