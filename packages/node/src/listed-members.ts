/** Member table of the agents of one service, built from the platform's list of upstreams. */
import {Publisher} from '@yuccawood/common';
import {newestUpstreams, type FleetView, type Upstream} from '@yuccawood/fleet';
import type {MemberPatch, MemberRecord, MemberTable} from '@yuccawood/membership';
import type {Stream} from 'most';

export type ListedMembersOptions = {
	readonly view: FleetView;

	/** Peer address of this agent; also its id. */
	readonly selfId: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly service: string;
	/** Region by failure domain. */
	readonly regions: ReadonlyMap<string, string>;
	readonly peerAddress: (ip: string) => string;

	/** Hash of the manifest of a version; undefined until this agent knows it. */
	readonly manifestHash: (version: number) => string | undefined;
};

/** Members, and the upstreams and manifest hashes from which they were built. */
type CachedMembers = {
	readonly upstreams: readonly Upstream[];
	readonly hashes: ReadonlyMap<number, string | undefined>;
	readonly members: readonly MemberRecord[];
	readonly byId: ReadonlyMap<string, MemberRecord>;
};

/**
Whether the list contains the present process of an engine, identified by its start time. The entry of an earlier process
at the same address stays in the list until its lease expires.

@param startedAt start time that the engine reports; while it is undefined, any entry with the address counts
*/
export const isStartListed = (upstreams: readonly Upstream[], {address, startedAt}: {readonly address: string; readonly startedAt: number | undefined}): boolean =>
	upstreams.some(upstream => upstream.address === address && (startedAt === undefined || upstream.startedAt === startedAt));

export class ListedMembers implements MemberTable {
	readonly #options: ListedMembersOptions;
	readonly #published = new Publisher<MemberRecord>();
	#cache: CachedMembers | undefined;

	constructor(options: ListedMembersOptions) {
		this.#options = options;
	}

	get self(): MemberRecord {
		const {selfId, region, failureDomain, service} = this.#options;
		return this.find(selfId) ?? recordOf({
			id: selfId, region, failureDomain, service, upstream: undefined, manifestHash: this.#options.manifestHash,
		});
	}

	/** Cached until the list or a known manifest hash changes, because a transfer reads this for each piece. */
	get members(): readonly MemberRecord[] {
		const {view: {upstreams}, manifestHash} = this.#options;
		const known = this.#cache;
		if (known?.upstreams === upstreams && [...known.hashes].every(([version, hash]) => manifestHash(version) === hash)) {
			return known.members;
		}

		const versions = upstreams.flatMap(({model}) => model ? [model.version] : []);
		const members = this.#build();
		this.#cache = {
			upstreams, members, hashes: new Map(versions.map(version => [version, manifestHash(version)])), byId: new Map(members.map(member => [member.id, member])),
		};
		return members;
	}

	get changes(): Stream<MemberRecord> {
		return this.#published.changes;
	}

	get highestRevision(): number {
		return this.#options.view.engines?.directory.revision ?? 0;
	}

	readonly find = (id: string): MemberRecord | undefined => this.members.length > 0 ? this.#cache?.byId.get(id) : undefined;

	/** Does nothing, because the platform itself lists the upstream. */
	readonly updateSelf = (_patch: MemberPatch): void => undefined;

	#build(): readonly MemberRecord[] {
		const {view, service, regions, peerAddress, manifestHash, selfId, region, failureDomain} = this.#options;
		const listed = newestUpstreams(view.upstreams.filter(upstream => upstream.service === service)).map(upstream => recordOf({
			id: peerAddress(upstream.address.split(':')[0]),
			region: regions.get(upstream.failureDomain) ?? upstream.failureDomain,
			failureDomain: upstream.failureDomain,
			service,
			upstream,
			manifestHash,
		}));
		return listed.some(({id}) => id === selfId)
			? listed
			: [...listed, recordOf({
				id: selfId, region, failureDomain, service, upstream: undefined, manifestHash,
			})];
	}
}

const recordOf = ({id, region, failureDomain, service, upstream, manifestHash}: {
	readonly id: string;
	readonly region: string;
	readonly failureDomain: string;
	readonly service: string;
	readonly upstream: Upstream | undefined;
	readonly manifestHash: (version: number) => string | undefined;
}): MemberRecord => {
	const model = upstream?.model;
	const hash = model && manifestHash(model.version);
	return {
		id,
		role: 'agent',
		address: id,
		region,
		failureDomain,
		incarnation: upstream?.startedAt ?? 0,
		sequence: 0,
		status: upstream?.state === 'draining' ? 'leaving' : 'alive',
		revision: 0,
		upstream: {
			kind: 'engine',
			service,
			ready: upstream?.state === 'ready',
			capacity: upstream?.slots ?? 0,
			served: model
				? [{
					name: model.name, version: String(model.version), manifest: String(model.version), kind: 'model',
				}]
				: [],
			held: hash === undefined ? [] : [hash],
		},
	};
};
