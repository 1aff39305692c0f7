/** All known backend servers, by instance and by service. */
import {type Member} from '../types.ts';
import {type MemberView} from './member-view.ts';

export class Directory {
	/**
	 * @param createView - creates the view of a member that is new or has another server, service or address
	 * @example
	 * const directory = Directory.create(member => MemberView.create(member, transport, distance));
	 */
	static create(createView: (member: Member) => MemberView): Directory {
		return new Directory(createView);
	}

	readonly #views = new Map<string, MemberView>();
	readonly #services = new Map<string, MemberView[]>();

	private constructor(private readonly createView: (member: Member) => MemberView) {}

	get size(): number {
		return this.#views.size;
	}

	list(): MemberView[] {
		return [...this.#views.values()];
	}

	/** Lists the members of a service, in any state. */
	listService(service: string): readonly MemberView[] {
		return this.#services.get(service) ?? [];
	}

	/** Counts the services of all members. */
	countServices(): number {
		return this.#services.size;
	}

	findMember(instance: string): MemberView | undefined {
		return this.#views.get(instance);
	}

	/**
	 * Applies an announcement.
	 *
	 * @returns false when it is not newer than the known one
	 */
	apply(member: Member): boolean {
		const known = this.#views.get(member.instance);
		if (known !== undefined && known.member.epoch >= member.epoch) {
			return false;
		}

		if (known !== undefined && isSameServer(known.member, member)) {
			if (known.member.state !== member.state) {
				known.resetFailures();
			}

			known.member = member;
			return true;
		}

		this.#views.set(member.instance, this.createView(member));
		this.#rebuild();
		return true;
	}

	remove(instance: string): void {
		if (this.#views.delete(instance)) {
			this.#rebuild();
		}
	}

	#rebuild(): void {
		this.#services.clear();
		for (const view of this.#views.values()) {
			const views = this.#services.get(view.member.service) ?? [];
			views.push(view);
			this.#services.set(view.member.service, views);
		}
	}
}

function isSameServer(first: Member, second: Member): boolean {
	return (
		first.serverId === second.serverId &&
		first.service === second.service &&
		first.link.host === second.link.host &&
		first.link.port === second.link.port
	);
}
