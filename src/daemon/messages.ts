/**
 * Messages between the tasks of a daemon.
 */
import {type GuardState} from '../call/types.ts';
import {type Member} from '../membership/types.ts';
import {type PolicyVersion} from '../policy/types.ts';

/** Messages from the control task to the tasks that handle calls. */
export type ControlMessage =
	| {readonly kind: 'members'; readonly members: readonly Member[]}
	| {readonly kind: 'policy'; readonly policy: PolicyVersion};

/** Messages from the guard to the control task. */
export type GuardMessage = {readonly kind: 'state'; readonly state: GuardState};

/** The steps of a shutdown, sent to the tasks that handle calls. */
export type StopMessage =
	/** The daemon announces that it leaves; calls that still arrive are accepted. */
	| {readonly kind: 'leave'}
	/** New calls are refused with the outcome `notRun`. */
	| {readonly kind: 'refuse'};

export type TaskMessage = ControlMessage | StopMessage;

/** A task that receives messages from other tasks. */
export type Task = {
	receive(message: TaskMessage): void;
};
