/** Configuration documents of test fleets. */

export type ModelText = {
	readonly name: string;
	readonly version: string;
	readonly manifest: string;
	readonly maxSwitchingShare?: number;
};

export const modelSection = ({version, manifest, maxSwitchingShare = 0.5}: Omit<ModelText, 'name'>): string =>
	`version = ${version}\nmanifest = sha256:${manifest}\nmax_switching_share = ${maxSwitchingShare}\n`;

/** A document with one model, a route to it and a route to the service `orders`. */
export const documentText = ({model, accounts = '', balance = 0.5}: {
	readonly model: ModelText;

	/** Sections of client accounts. Without any, all callers are admitted. */
	readonly accounts?: string;
	readonly balance?: number;
}): string => `[owners]
owners = platform
model.* = models
adapter.* = models
route.* = routing
account.* = accounts
vm.* = platform
rollout = models

[model.${model.name}]
${modelSection(model)}
[route.chat]
path = /v1/chat/completions
kind = model
models = ${model.name}
deadline_ms = 30000

[route.orders]
path = /orders
kind = service
service = orders
repeatable_methods = GET, HEAD
deadline_ms = 10000

${accounts}
[rollout]
balance = ${balance}
`;
