/** All known backend servers, by instance and by service. */
import {type Member} from '../types.ts';
import {type Distance, distances, type MemberView} from './member-view.ts';
import {mergeLeave} from './server-leave.ts';

/** Members of one service by their distance. */
type ServiceMembers = Record<Distance, MemberView[]>;

const noMembers: Readonly<Record<Distance, readonly MemberView[]>> = createServiceMembers();

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
	readonly #services = new Map<string, ServiceMembers>();

	private constructor(private readonly createView: (member: Member) => MemberView) {}

	get size(): number {
		return this.#views.size;
	}

	list(): MemberView[] {
		return [...this.#views.values()];
	}

	/** Lists the members of a service by their distance, in any state. */
	listService(service: string): Readonly<Record<Distance, readonly MemberView[]>> {
		return this.#services.get(service) ?? noMembers;
	}

	/** Counts the members of a service, in any state. */
	countMembers(service: string): number {
		const members = this.listService(service);
		return (
			members[distances.dataCentre].length +
			members[distances.region].length +
			members[distances.far].length
		);
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
	apply(announced: Member): boolean {
		const known = this.#views.get(announced.instance);
		if (known !== undefined && known.member.epoch >= announced.epoch) {
			return false;
		}

		const member = mergeLeave(known?.member, announced);
		if (known !== undefined && isSameServer(known.member, member)) {
			if (known.member.state !== member.state) {
				known.resetFailures();
			}

			known.update(member);
			return true;
		}

		this.remove(member.instance);
		this.#add(this.createView(member));
		return true;
	}

	remove(instance: string): void {
		const view = this.#views.get(instance);
		if (view === undefined) {
			return;
		}

		this.#views.delete(instance);
		const {service} = view.member;
		const members = this.#services.get(service)!;
		members[view.distance] = members[view.distance].filter(each => each !== view);
		if (this.countMembers(service) === 0) {
			this.#services.delete(service);
		}
	}

	#add(view: MemberView): void {
		const {instance, service} = view.member;
		this.#views.set(instance, view);
		const members = this.#services.get(service) ?? createServiceMembers();
		members[view.distance].push(view);
		this.#services.set(service, members);
	}
}

function createServiceMembers(): ServiceMembers {
	return {[distances.dataCentre]: [], [distances.region]: [], [distances.far]: []};
}

function isSameServer(first: Member, second: Member): boolean {
	return (
		first.serverId === second.serverId &&
		first.service === second.service &&
		first.link.host === second.link.host &&
		first.link.port === second.link.port
	);
}
