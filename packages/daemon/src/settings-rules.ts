/** Sections and keys of the settings file of a process. `docs/OPERATIONS.md` documents them for operators. */
import type {SectionRules} from '@yuccawood/common';

export const SETTINGS_RULES: Readonly<Record<string, SectionRules>> = {
	process: {
		role: {
			type: 'choice', choices: ['entry', 'agent'], required: true, description: 'Role of the process.',
		},
		id: {
			type: 'text', pattern: /^[\w-]{1,64}$/, required: true, description: 'Id of the VM, unique in the fleet.',
		},
		region: {type: 'text', required: true, description: 'Region of the VM.'},
		failure_domain: {type: 'text', required: true, description: 'Failure domain of the VM within its region.'},
		stop_limit_ms: {
			type: 'integer', minimum: 0, maximum: 86_400_000, default: 600_000, description: 'Longest time that a planned stop waits for requests in progress, in milliseconds.',
		},
	},
	peer: {
		listen: {type: 'address', required: true, description: 'Address for other processes of the system.'},
		seeds: {type: 'list', default: [], description: 'Peer addresses to ask first.'},
	},
	entry: {
		listen: {type: 'address', description: 'Address for callers.'},
		leave_grace_ms: {
			type: 'integer', minimum: 0, maximum: 60_000, default: 1000, description: 'Time that a stopping entry still accepts connections, so that the balancer can react, in milliseconds.',
		},
	},
	upstream: {
		kind: {type: 'choice', choices: ['engine', 'service'], description: 'Kind of the upstream.'},
		service: {type: 'text', description: 'Name of the model or of the plain service.'},
		address: {type: 'address', description: 'HTTP address of the upstream.'},
		capacity: {
			type: 'integer', minimum: 1, maximum: 100_000, default: 64, description: 'Requests that the upstream runs at the same time.',
		},
		checks_fencing: {type: 'flag', default: false, description: 'Whether the engine refuses an order with an old fencing number.'},
		order_lock: {type: 'address', description: 'Loopback address that only one agent of the VM can bind; needed when checks_fencing is no.'},
	},
	platform: {
		key_value: {type: 'address', required: true, description: 'Address of the key-value service.'},
		origin: {type: 'address', description: 'Address of the origin of weights; needed by agents of engines.'},
		vm_list: {type: 'address', description: 'Address of the list of VMs.'},
		lease_ttl_ms: {
			type: 'integer', minimum: 500, maximum: 600_000, default: 10_000, description: 'Time to live of the upstream lease, in milliseconds.',
		},
	},
	weights: {
		link_bytes_per_second: {
			type: 'integer', minimum: 1024, default: 125_000_000, description: 'Rate of the VM\'s link, in bytes per second.',
		},
		cross_region_bytes_per_second: {
			type: 'integer', minimum: 1024, default: 2_250_000, description: 'Rate between two regions that all VMs of a region share, in bytes per second.',
		},
		store_region: {type: 'text', description: 'Region of the origin; needed by agents of engines.'},
	},
	log: {
		format: {
			type: 'choice', choices: ['json', 'text'], default: 'json', description: 'Format of the log lines.',
		},
		level: {
			type: 'choice', choices: ['debug', 'info', 'warn', 'error'], default: 'info', description: 'Lowest level that is logged. Audit lines are always logged.',
		},
	},
	metrics: {
		statsd: {type: 'address', description: 'UDP address of a StatsD server; without it metrics stay in the process.'},
	},
};
