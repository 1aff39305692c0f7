/**
 * Messages between the tasks of a daemon.
 */
import {type GuardState} from '../call/types.ts';
import {type Member} from '../membership/types.ts';
import {type PolicyVersion} from '../policy/types.ts';

/** From the control task to the tasks that decide on calls. */
export type ControlMessage =
	| {readonly kind: 'members'; readonly members: readonly Member[]}
	| {readonly kind: 'policy'; readonly policy: PolicyVersion};

/** From the guard to the control task. */
export type GuardMessage = {readonly kind: 'state'; readonly state: GuardState};

/** Orders that stop a daemon step by step. */
export type StopMessage =
	/** Announced as leaving; work that still arrives is taken. */
	| {readonly kind: 'leave'}
	/** New work is refused as not run. */
	| {readonly kind: 'refuse'};

export type TaskMessage = ControlMessage | StopMessage;

/** Receives messages of other tasks. */
export type Task = {
	receive(message: TaskMessage): void;
};
