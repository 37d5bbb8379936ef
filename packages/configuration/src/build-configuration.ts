/** Converts the checked values of sections into a configuration. */
import type {SectionValues} from '@yuccawood/common';
import type {SectionKind} from './section-kinds.js';
import type {
	AccountConfiguration, Configuration, ModelConfiguration, RolloutConfiguration, RouteConfiguration, VmConfiguration,
} from './types.js';

/** A section with the values of its keys as checked by the rules of its kind. */
export type CheckedSection = {
	readonly section: string;
	readonly kind: Exclude<SectionKind, 'owners'>;
	readonly name: string;
	readonly line: number;
	readonly values: SectionValues;
};

const DEFAULT_ROLLOUT: RolloutConfiguration = {balance: 0.5};
const HASH_PREFIX = 'sha256:';

const hash = (value: unknown): string => String(value).slice(HASH_PREFIX.length);

const toModel = ({kind, name, values}: CheckedSection): ModelConfiguration => ({
	name,
	kind: kind === 'adapter' ? 'adapter' : 'model',
	version: String(values.version),
	manifest: hash(values.manifest),
	...(kind === 'adapter' && {base: String(values.base)}),
	maxSwitchingShare: Number(values.max_switching_share),
});

const toRoute = ({name, values}: CheckedSection): RouteConfiguration => {
	const isModel = values.kind === 'model';
	const defaultMethods = isModel ? ['GET', 'HEAD', 'POST'] : ['GET', 'HEAD'];
	return {
		name,
		path: String(values.path),
		target: isModel
			? {kind: 'model', models: values.models as readonly string[]}
			: {kind: 'service', service: String(values.service)},
		repeatableMethods: (values.repeatable_methods as readonly string[] | undefined ?? defaultMethods).map(method => method.toUpperCase()),
		deadlineMs: Number(values.deadline_ms),
		maxBodyBytes: Number(values.max_body_bytes),
	};
};

const toAccount = ({name, values}: CheckedSection): AccountConfiguration => ({
	name,
	key: hash(values.key),
	requestsPerSecond: Number(values.requests_per_second),
	concurrent: Number(values.concurrent),
	priority: Number(values.priority),
});

const toVm = ({name, values}: CheckedSection): VmConfiguration => ({id: name, role: values.role as VmConfiguration['role']});

/** Builds the configuration. The sections must be free of faults. */
export const buildConfiguration = (sections: readonly CheckedSection[]): Configuration => {
	const ofKind = (...kinds: readonly SectionKind[]): readonly CheckedSection[] => sections.filter(({kind}) => kinds.includes(kind));
	const [rollout] = ofKind('rollout');
	return {
		models: ofKind('model', 'adapter').map(section => toModel(section)),
		routes: ofKind('route').map(section => toRoute(section)),
		accounts: ofKind('account').map(section => toAccount(section)),
		vms: ofKind('vm').map(section => toVm(section)),
		rollout: rollout ? {balance: Number(rollout.values.balance)} : DEFAULT_ROLLOUT,
	};
};
