/** Kinds of section, and the rules for the keys of each. */
import type {SectionRules} from '@yuccawood/common';

export type SectionKind = 'owners' | 'model' | 'adapter' | 'route' | 'account' | 'vm' | 'rollout';

const HASH_PATTERN = /^sha256:[\da-f]{64}$/;
const NAME_PATTERN = /^[\w.-]+$/;

const VERSION_RULES: SectionRules = {
	version: {
		type: 'text', description: 'Version that the VMs run.', required: true, pattern: NAME_PATTERN,
	},
	manifest: {
		type: 'text', description: 'Manifest of the version as sha256:<64 hexadecimal digits>.', required: true, pattern: HASH_PATTERN,
	},
	max_switching_share: {
		type: 'number', description: 'Share of the VMs that may switch versions at the same time, from 0.01 to 1.', default: 0.25, minimum: 0.01, maximum: 1,
	},
};

export const SECTION_RULES: Readonly<Record<Exclude<SectionKind, 'owners'>, SectionRules>> = {
	model: VERSION_RULES,
	adapter: {
		...VERSION_RULES,
		base: {
			type: 'text', description: 'Name of the model that the adapter extends.', required: true, pattern: NAME_PATTERN,
		},
	},
	route: {
		path: {
			type: 'text', description: 'Prefix of the request path.', required: true, pattern: /^\/\S*$/,
		},
		kind: {
			type: 'choice', description: 'What answers the requests.', required: true, choices: ['model', 'service'],
		},
		models: {type: 'list', description: 'Models and adapters that callers may name, for kind = model.'},
		service: {type: 'text', description: 'Plain service that answers, for kind = service.', pattern: NAME_PATTERN},
		repeatable_methods: {type: 'list', description: 'Methods whose requests may be run again. Default: GET, HEAD; for kind = model also POST.'},
		deadline_ms: {
			type: 'integer', description: 'Time to the deadline of a request, in milliseconds.', default: 60_000, minimum: 1, maximum: 3_600_000,
		},
		max_body_bytes: {
			type: 'integer', description: 'Largest request body, in bytes.', default: 1_048_576, minimum: 0, maximum: 67_108_864,
		},
	},
	account: {
		key: {
			type: 'text', description: 'Hash of the bearer key as sha256:<64 hexadecimal digits>.', required: true, pattern: HASH_PATTERN,
		},
		requests_per_second: {
			type: 'number', description: 'Requests per second over all entries.', required: true, minimum: 0, maximum: 1_000_000,
		},
		concurrent: {
			type: 'integer', description: 'Requests in progress over all entries.', required: true, minimum: 0, maximum: 1_000_000,
		},
		priority: {
			type: 'integer', description: 'Urgency from 0, the least, to 9, the most.', default: 5, minimum: 0, maximum: 9,
		},
	},
	vm: {
		role: {
			type: 'choice', description: 'Whether the VM takes work.', required: true, choices: ['serve', 'drain'],
		},
	},
	rollout: {
		balance: {
			type: 'number', description: 'From 0 (fewest bytes from the origin) to 1 (shortest time).', default: 0.5, minimum: 0, maximum: 1,
		},
	},
};

const SINGLE_KINDS: ReadonlySet<string> = new Set(['owners', 'rollout']);
const NAMED_PATTERN = /^(model|adapter|route|account|vm)\.([\w.-]+)$/;

/** Splits a section name such as `model.NAME` into kind and name. @returns `undefined` when there is no such kind. */
export const sectionKind = (section: string): {readonly kind: SectionKind; readonly name: string} | undefined => {
	if (SINGLE_KINDS.has(section)) {
		return {kind: section as SectionKind, name: section};
	}

	const match = NAMED_PATTERN.exec(section);
	return match ? {kind: match[1] as SectionKind, name: match[2]} : undefined;
};
