/** Chooses the agent for a call by load, prompt prefix and distance (failure domain, then region). */
import {rendezvousWeight, type Clock, type Random} from '@yuccawood/common';
import type {MemberRecord, MemberTable} from '@yuccawood/membership';
import type {Target} from './call.js';
import {AFFINITY_SLACK, AVOID_FULL_MS, LOAD_REPORT_LIFETIME_MS} from './constants.js';

/** Load of one agent as this entry estimates it. */
class AgentLoad {
	/** Requests of this entry in progress at the agent. */
	ownRequests = 0;

	/** Monotonic time in milliseconds until which the agent gets no calls. */
	avoidUntil = 0;
	#fullUntil = 0;
	#otherRequests = 0;
	#reportedAt = Number.NEGATIVE_INFINITY;

	/** Records the number of requests in progress at the agent, which includes those of this entry. */
	recordReport(reportedRequests: number, now: number): void {
		this.#otherRequests = Math.max(0, reportedRequests - this.ownRequests);
		this.#reportedAt = now;
		this.#fullUntil = 0;
	}

	/** Records that the agent rejected a call because it is full. */
	recordRejection(now: number): void {
		this.#fullUntil = now + AVOID_FULL_MS;
	}

	/** Own requests plus the last report of other entries' requests, weighted linearly down to 0 at `LOAD_REPORT_LIFETIME_MS`. Infinite shortly after a rejection. */
	estimateRequests(now: number): number {
		if (now < this.#fullUntil) {
			return Number.POSITIVE_INFINITY;
		}

		const ageMs = now - this.#reportedAt;
		const weight = ageMs < LOAD_REPORT_LIFETIME_MS ? 1 - (ageMs / LOAD_REPORT_LIFETIME_MS) : 0;
		return this.ownRequests + (this.#otherRequests * weight);
	}
}

/** An agent that serves a target. */
export type Agent = {
	readonly id: string;
	readonly address: string;
	readonly incarnation: number;

	/** Requests that its upstream runs at the same time, at least 1. */
	readonly capacity: number;
	readonly load: AgentLoad;
};

/** Agents of one target, nearest tier first. */
type AgentTiers = ReadonlyArray<readonly Agent[]>;

type ChoiceOptions = {
	/** Ids of agents that must not be chosen. */
	readonly excluded: ReadonlySet<string>;

	/** Group of the prompt prefix. Calls of one group prefer the same agent, whose prompt cache they share, while its load allows. */
	readonly prefix?: string;
};

/** Keys of the targets (see `Target.key`) that a member is ready to serve. */
const targetKeys = ({upstream}: MemberRecord): readonly string[] => {
	if (!upstream?.ready) {
		return [];
	}

	return upstream.kind === 'service' ? [`service:${upstream.service}`] : upstream.served.map(({name}) => `model:${name}`);
};

/** Keeps the agents of each target in tiers, rebuilt after a change of the membership. */
export class Router {
	readonly #members: MemberTable;
	readonly #random: Random;
	readonly #clock: Clock;
	readonly #loads = new Map<string, AgentLoad>();
	readonly #subscription: {unsubscribe: () => void};
	#tiers: ReadonlyMap<string, AgentTiers> | undefined;

	constructor({members, random, clock}: {readonly members: MemberTable; readonly random: Random; readonly clock: Clock}) {
		this.#members = members;
		this.#random = random;
		this.#clock = clock;
		this.#subscription = members.changes.subscribe({
			next: () => {
				this.#tiers = undefined;
			},
			error: () => undefined,
			complete: () => undefined,
		});
	}

	/**
	Compares two candidates in each tier, nearest first, and takes the less loaded one if it has free capacity.

	@returns the chosen agent; when no tier offers one with free capacity, a full agent of the nearest tier with candidates; `undefined` when all agents are excluded or avoided.
	*/
	choose(target: Target, {excluded, prefix}: ChoiceOptions): Agent | undefined {
		const tiers = this.#currentTiers().get(target.key) ?? [];
		const now = this.#clock.monotonic();
		let firstFull: Agent | undefined;
		for (const tier of tiers) {
			const candidates = tier.filter(({id, load}) => load.avoidUntil <= now && !excluded.has(id));
			const agent = candidates.length === 0 ? undefined : this.#chooseOfTwo(candidates, prefix, now);
			if (agent && agent.load.estimateRequests(now) < agent.capacity) {
				return agent;
			}

			firstFull ??= agent;
		}

		return firstFull;
	}

	/** Whether the target has agents that are not avoided and all of them are at their capacity. */
	isFull(target: Target): boolean {
		const now = this.#clock.monotonic();
		let isFull = false;
		for (const tier of this.#currentTiers().get(target.key) ?? []) {
			for (const {load, capacity} of tier) {
				if (load.avoidUntil > now) {
					continue;
				}

				if (load.estimateRequests(now) < capacity) {
					return false;
				}

				isFull = true;
			}
		}

		return isFull;
	}

	/** Number of calls that all agents of the target together can run at the same time. */
	totalCapacity(target: Target): number {
		const agents = this.#currentTiers().get(target.key)?.flat() ?? [];
		return agents.reduce((total, {capacity}) => total + capacity, 0);
	}

	/** Excludes the agent from all choices for a time. */
	avoid({load}: Agent, durationMs: number): void {
		load.avoidUntil = this.#clock.monotonic() + durationMs;
	}

	close(): void {
		this.#subscription.unsubscribe();
	}

	/** The less loaded of two random agents. With a prefix, the first is the agent preferred for it, which may be loaded more by `AFFINITY_SLACK`. */
	#chooseOfTwo(candidates: readonly Agent[], prefix: string | undefined, now: number): Agent {
		const first = prefix === undefined ? candidates[this.#random.nextInteger(candidates.length)] : findPreferred(candidates, prefix);
		const second = candidates[this.#random.nextInteger(candidates.length)];
		const slack = prefix === undefined ? 0 : AFFINITY_SLACK;
		return first.load.estimateRequests(now) / first.capacity <= (second.load.estimateRequests(now) / second.capacity) + slack && first.load.estimateRequests(now) < first.capacity ? first : second;
	}

	#currentTiers(): ReadonlyMap<string, AgentTiers> {
		this.#tiers ??= this.#buildTiers();
		return this.#tiers;
	}

	#buildTiers(): ReadonlyMap<string, AgentTiers> {
		const tiers = new Map<string, Agent[][]>();
		const previous = new Map(this.#loads);
		this.#loads.clear();
		for (const member of this.#members.members) {
			if (member.role !== 'agent' || (member.status !== 'alive' && member.status !== 'suspect')) {
				continue;
			}

			for (const key of targetKeys(member)) {
				const list = tiers.get(key) ?? [[], [], [], []];
				tiers.set(key, list);
				list[this.#tierIndex(member)].push(this.#createAgent(member, previous));
			}
		}

		return tiers;
	}

	/** 0 for the same failure domain, 1 for the same region, 2 for other regions, 3 for members that the failure detector suspects. */
	#tierIndex({status, failureDomain, region}: MemberRecord): number {
		const {self} = this.#members;
		if (status === 'suspect') {
			return 3;
		}

		if (region !== self.region) {
			return 2;
		}

		return failureDomain === self.failureDomain ? 0 : 1;
	}

	/** Keeps the load of a known incarnation, so that a membership change does not reset it. */
	#createAgent({id, address, incarnation, upstream}: MemberRecord, previous: ReadonlyMap<string, AgentLoad>): Agent {
		const key = `${id}/${incarnation}`;
		const load = this.#loads.get(key) ?? previous.get(key) ?? new AgentLoad();
		this.#loads.set(key, load);
		return {
			id, address, incarnation, load, capacity: Math.max(1, upstream?.capacity ?? 1),
		};
	}
}

/** The agent with the highest rendezvous hash for the prefix, so that a change of the members moves few prefixes. */
const findPreferred = (agents: readonly Agent[], prefix: string): Agent => {
	let best = agents[0];
	let bestScore = -1;
	for (const agent of agents) {
		const agentScore = rendezvousWeight(prefix, agent.id);
		if (agentScore > bestScore) {
			best = agent;
			bestScore = agentScore;
		}
	}

	return best;
};
