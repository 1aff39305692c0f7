/** What all calls of one entry share. */
import {type Admission} from '../overload/admission.ts';
import {type CallModel} from '../overload/call-model.ts';
import {type CostBook} from '../overload/cost-book.ts';
import {type RetryBudget} from '../overload/retry-budget.ts';
import {type MemberView} from '../knowledge/member-view.ts';
import {type Directory} from '../knowledge/directory.ts';
import {type RouteTable} from '../knowledge/route-table.ts';
import {type Guard} from '../guard/guard.ts';
import {type ReplyNews} from '../link/messages.ts';
import {type RequestLog} from '../reporting/request-log.ts';
import {type HeadCodec, type Member} from '../types.ts';

export type EntryContext = {
	readonly codec: HeadCodec;
	readonly directory: Directory;
	readonly guard: Guard;
	readonly budget: RetryBudget;
	readonly admission: Admission;
	readonly model: CallModel;
	readonly costs: CostBook;
	readonly log: RequestLog;
	/** Undefined until a configuration is known. */
	readRoutes(): RouteTable | undefined;
	/** Service of the server beside the sidecar, which callers on this instance speak for. */
	readCallerService(): string;
	/** Whether callers are asked to open their next connection elsewhere. */
	isStopping(): boolean;
	/** Whether callers who still come are refused. */
	isClosing(): boolean;
	/** Takes what a guard's reply tells besides. */
	handleNews(from: MemberView, route: string, news: ReplyNews): void;
	/** Takes an announcement that came with a refusal. */
	handleMember(member: Member): void;
	createNonce(): string;
	random(): number;
};
