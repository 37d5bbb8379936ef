/** Bounds how many VMs of a model switch versions at the same time. */
import {rank} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';

export type SwitchOptions = {
	readonly members: readonly MemberRecord[];
	readonly selfId: string;
	readonly service: string;

	/** Model or adapter that switches. */
	readonly name: string;
	readonly manifest: string;

	/** Share of the model's VMs that may switch at the same time, above 0 and up to 1. */
	readonly maxSwitchingShare: number;
};

/**
Whether this member may switch now: fewer members before it in the order than the bound have still to switch.

A member that answers with no version of the name takes no requests for it, so it neither waits nor makes others wait.
*/
export const maySwitch = ({members, selfId, service, name, manifest, maxSwitchingShare}: SwitchOptions): boolean => {
	const fleet = members.filter(({role, status, upstream}) => role === 'agent' && (status === 'alive' || status === 'suspect') && upstream?.service === service);
	const bound = Math.max(1, Math.floor(fleet.length * maxSwitchingShare));
	const isSwitchPending = ({upstream}: MemberRecord): boolean => {
		const served = upstream!.served.filter(version => version.name === name);
		return served.length > 0 && !served.some(version => version.manifest === manifest);
	};

	const pending = new Set(fleet.filter(member => isSwitchPending(member)).map(({id}) => id));
	const order = rank(manifest, fleet.map(({id}) => id));
	const before = order.slice(0, Math.max(0, order.indexOf(selfId)));
	return before.filter(id => pending.has(id)).length < bound;
};
