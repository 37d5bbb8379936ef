import {sha256} from '@yuccawood/common';
import type {AccountConfiguration, ConfigurationInForce} from '@yuccawood/configuration';
import {anonymousState, AccountState, limitsOf} from './account-state.js';
import {MAX_CACHED_KEYS} from './constants.js';

/** Finds accounts by bearer key. An account keeps its use counts when its limits change. */
export class AccountDirectory {
	readonly #byName = new Map<string, AccountState>();

	/** Cache of the accounts of bearer keys seen before, without hashing. */
	readonly #byBearer = new Map<string, AccountState>();

	/** Accounts by the SHA-256 of their bearer key. */
	#byKey = new Map<string, AccountState>();
	#revision = -1;

	/** Set while the configuration has no accounts. */
	#anonymous: AccountState | undefined;

	/** Accounts of the configuration in force, or the anonymous one if it has none. */
	get all(): readonly AccountState[] {
		return this.#anonymous ? [this.#anonymous] : [...this.#byName.values()];
	}

	get(name: string): AccountState | undefined {
		return this.#byName.get(name);
	}

	/** Applies a configuration unless its revision is already in use. */
	applyConfiguration(inForce: ConfigurationInForce | undefined, now: number): void {
		const revision = inForce?.revision ?? 0;
		if (revision === this.#revision) {
			return;
		}

		this.#revision = revision;
		this.#byBearer.clear();
		const accounts = inForce?.configuration.accounts ?? [];
		this.#byKey = new Map(accounts.map(account => [account.key, this.#updateState(account, now)]));
		for (const name of this.#byName.keys()) {
			if (!accounts.some(account => account.name === name)) {
				this.#byName.delete(name);
			}
		}

		this.#anonymous = accounts.length === 0 ? this.#anonymous ?? anonymousState(now) : undefined;
	}

	/** @returns the account of a bearer key, the anonymous one while no accounts are configured, or undefined for an unknown key. */
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

	#updateState(account: AccountConfiguration, now: number): AccountState {
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
