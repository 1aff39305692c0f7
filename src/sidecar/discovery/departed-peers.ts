/** Peers that announced directly that they accept no requests, which are polled until they are ready again. */
import {type Directory} from './directory.ts';
import {type MemberView} from './member-view.ts';

/**
 * How long a departed peer is polled: a planned stop takes up to the grace period of about 6 s and a
 * restart a few seconds more; doubled.
 */
const departedPollMs = 20_000;

export class DepartedPeers {
	/**
	 * @example
	 * const departed = DepartedPeers.create(directory);
	 * departed.add('sidecar-est-a-1', nowMs);
	 */
	static create(directory: Directory): DepartedPeers {
		return new DepartedPeers(directory);
	}

	/** When polling each peer ends. */
	readonly #endTimes = new Map<string, number>();

	private constructor(private readonly directory: Directory) {}

	add(instance: string, nowMs: number): void {
		this.#endTimes.set(instance, nowMs + departedPollMs);
	}

	/** Lists the peers to poll, and drops those that are ready again, unknown, or were polled for long enough. */
	list(nowMs: number): MemberView[] {
		const views: MemberView[] = [];
		for (const [instance, untilMs] of this.#endTimes) {
			const view = this.directory.findMember(instance);
			if (view === undefined || view.member.state === 'ready' || nowMs >= untilMs) {
				this.#endTimes.delete(instance);
			} else {
				views.push(view);
			}
		}

		return views;
	}
}
