import {sha256} from '@yuccawood/common';
import type {AccountConfiguration, ConfigurationInForce} from '@yuccawood/configuration';
import {anonymousState, AccountState, limitsOf} from './account-state.js';
import {MAX_CACHED_KEYS} from './constants.js';

/** Accounts by bearer key. Use counts of an account are kept when its limits change. */
export class AccountDirectory {
	readonly #byName = new Map<string, AccountState>();
	readonly #byBearer = new Map<string, AccountState>();
	#byKey = new Map<string, AccountState>();
	#revision = -1;
	#anonymous: AccountState | undefined;

	/** Accounts seen since the start, without those that were removed. */
	get all(): readonly AccountState[] {
		return this.#anonymous ? [this.#anonymous] : [...this.#byName.values()];
	}

	get(name: string): AccountState | undefined {
		return this.#byName.get(name);
	}

	/** Takes over a configuration if it is not the one in use. */
	update(inForce: ConfigurationInForce | undefined, now: number): void {
		const revision = inForce?.revision ?? 0;
		if (revision === this.#revision) {
			return;
		}

		this.#revision = revision;
		this.#byBearer.clear();
		const accounts = inForce?.configuration.accounts ?? [];
		this.#byKey = new Map(accounts.map(account => [account.key, this.#stateOf(account, now)]));
		for (const name of this.#byName.keys()) {
			if (!accounts.some(account => account.name === name)) {
				this.#byName.delete(name);
			}
		}

		this.#anonymous = accounts.length === 0 ? this.#anonymous ?? anonymousState(now) : undefined;
	}

	/** The account of a bearer key; the anonymous one while there are no accounts. */
	identify(bearer: string | undefined): AccountState | undefined {
		if (this.#anonymous) {
			return this.#anonymous;
		}

		if (bearer === undefined) {
			return undefined;
		}

		const known = this.#byBearer.get(bearer);
		if (known) {
			return known;
		}

		const state = this.#byKey.get(sha256(bearer));
		if (state && this.#byBearer.size < MAX_CACHED_KEYS) {
			this.#byBearer.set(bearer, state);
		}

		return state;
	}

	#stateOf(account: AccountConfiguration, now: number): AccountState {
		const limits = limitsOf(account);
		const known = this.#byName.get(account.name);
		if (known) {
			known.limits = limits;
			known.priority = account.priority;
			known.weight = Math.max(1, account.concurrent);
			return known;
		}

		const state = new AccountState({
			name: account.name, limits, priority: account.priority, weight: Math.max(1, account.concurrent), now,
		});
		this.#byName.set(account.name, state);
		return state;
	}
}
