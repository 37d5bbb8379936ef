/** Limits how many VMs of a model switch versions at the same time. */
import {rankByWeight} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';

export type SwitchOptions = {
	readonly members: readonly MemberRecord[];
	readonly selfId: string;
	readonly service: string;

	/** Model or adapter that switches. */
	readonly name: string;

	/** Manifest hash of the version that members switch to. */
	readonly manifest: string;

	/** Share of the model's VMs that may switch at the same time, above 0 and up to 1. */
	readonly maxSwitchingShare: number;
};

/**
Whether this member may switch now. All members switch in the rendezvous order of the manifest: this one may switch when
fewer members than the limit come before it and have not switched yet.

A member that serves no version of the model or adapter takes no requests for it, so no member waits for it.
*/
export const canSwitch = ({members, selfId, service, name, manifest, maxSwitchingShare}: SwitchOptions): boolean => {
	const fleet = members.filter(({role, status, upstream}) => role === 'agent' && (status === 'alive' || status === 'suspect') && upstream?.service === service);
	const maxSwitching = Math.max(1, Math.floor(fleet.length * maxSwitchingShare));
	const isSwitchPending = ({upstream}: MemberRecord): boolean => {
		const served = upstream!.served.filter(version => version.name === name);
		return served.length > 0 && !served.some(version => version.manifest === manifest);
	};

	const pending = new Set(fleet.filter(member => isSwitchPending(member)).map(({id}) => id));
	const order = rankByWeight(manifest, fleet.map(({id}) => id));
	const predecessors = order.slice(0, Math.max(0, order.indexOf(selfId)));
	return predecessors.filter(id => pending.has(id)).length < maxSwitching;
};
