/**
Target versions that peers know and this process does not, because the store keeps only the newest version of a model. Older
versions expire at the bound of the first one that superseded them, so the times of all of them count.
*/
import type {ModelTarget, TargetAge} from '@yuccawood/fleet';

/** An age as a peer reported it. `receivedAt` is a monotonic time in milliseconds. */
export type ReportedAge = {readonly age: TargetAge; readonly receivedAt: number};

/**
@param targetsOf target versions of a model that this process knows, oldest first
@returns one target per unknown version that is older than the current one. The assumptions of peers that did not see it
being set count only if no peer did.
*/
export const supersededTargets = (reports: readonly ReportedAge[], targetsOf: (model: string) => readonly ModelTarget[]): readonly ModelTarget[] => {
	const unknown = reports.filter(({age: {model, version}}) => {
		const known = targetsOf(model);
		return known.length > 0 && version < known.at(-1)!.version && !known.some(target => target.version === version);
	});
	const versions = new Map(unknown.map(({age}) => [`${age.model}@${age.version}`, age]));
	return [...versions.values()].map(({model, version}) => {
		const group = unknown.filter(({age}) => age.model === model && age.version === version);
		const witnessed = group.filter(({age}) => age.witnessedMs !== undefined || age.absentMs !== undefined);
		const knownAt = Math.min(...group.map(({age, receivedAt}) => receivedAt - age.ageMs));
		const learnedAt = Math.min(...(witnessed.length > 0 ? witnessed : group).map(({age, receivedAt}) => receivedAt - age.countedMs));
		return {
			model, version, learnedAt, knownAt,
		};
	});
};
