/** Times of a rollout on one engine: how fast its pieces are transferred, and when it switches. */
import type {Clock} from '@yuccawood/common';
import {
	MAX_IDLE_TRANSFER_SHARE, MAX_SERVING_TRANSFER_SHARE, TRANSFER_DUE_MARGIN_MS,
} from './constants.js';
import type {StagedTargetVersion} from './staged-weight-manager-options.js';
import {
	switchDelayMs, switchWave, switchWindow, type SwitchWindow,
} from './switch-wave.js';
import {transferRate, type TransferProgress} from './transfer-rate.js';

export type RolloutScheduleOptions = {
	readonly selfId: string;

	/** Versions that were set as the target, oldest first. */
	readonly targets: () => readonly StagedTargetVersion[];

	/** Version that the engine holds, if any. */
	readonly heldVersion: () => number | undefined;

	/** Staleness bound, and the time before it from which entries send no requests to engines with an older version, in milliseconds. */
	readonly versionBoundMs: number;
	readonly boundMarginMs: number;

	/** Line rate of this VM; unlimited by default. */
	readonly linkBytesPerSecond?: number;
	readonly clock: Clock;
};

export class RolloutSchedule {
	readonly #options: RolloutScheduleOptions;
	readonly #window: SwitchWindow;

	constructor(options: RolloutScheduleOptions) {
		this.#options = options;
		this.#window = switchWindow(options.versionBoundMs);
	}

	/** Whether entries may send requests to the engine: it holds a version, and the staleness bound on it is not about to end. */
	get servesRequests(): boolean {
		const {targets, heldVersion, versionBoundMs, boundMarginMs, clock} = this.#options;
		const held = heldVersion();
		const newer = held !== undefined && targets().find(({version}) => version > held);
		return held !== undefined && (!newer || clock.monotonic() - newer.learnedAt < versionBoundMs - boundMarginMs);
	}

	/**
	Whether the group of this engine may switch now.

	@param heldAt monotonic milliseconds since which all pieces are held
	@param engines identifiers of the agents whose engines serve the model
	*/
	isSwitchDue(target: StagedTargetVersion, {heldAt, engines}: {readonly heldAt: number; readonly engines: readonly string[]}): boolean {
		const boundStartedAt = this.#boundStartedAt(target);
		const wave = switchWave({selfId: this.#options.selfId, ids: engines, version: target.version});
		return this.#options.clock.monotonic() - boundStartedAt >= switchDelayMs(wave, this.#window, heldAt - boundStartedAt);
	}

	/**
	Rate of a transfer in bytes per second: fast enough for the switch of the first group, also after a time without
	progress, and the maximum while the engine serves no requests.
	*/
	transferRate(target: StagedTargetVersion, {totalBytes, remainingBytes, startedAt}: TransferProgress): number {
		const {linkBytesPerSecond = Number.POSITIVE_INFINITY, targets, clock} = this.#options;
		if (!this.servesRequests) {
			return linkBytesPerSecond * MAX_IDLE_TRANSFER_SHARE;
		}

		// The rate-limited transfer of a newer version waits for this one.
		if (targets().some(({version}) => version > target.version)) {
			return linkBytesPerSecond * MAX_SERVING_TRANSFER_SHARE;
		}

		return transferRate({
			totalBytes, remainingBytes, startedAt, dueAt: this.#boundStartedAt(target) + this.#window.firstMs - TRANSFER_DUE_MARGIN_MS, now: clock.monotonic(), linkBytesPerSecond,
		});
	}

	/**
	Start of the staleness bound that ends first, in monotonic milliseconds: when the oldest target version that is newer
	than the version of the engine was set.
	*/
	#boundStartedAt(target: StagedTargetVersion): number {
		const held = this.#options.heldVersion() ?? 0;
		return this.#options.targets().find(({version}) => version > held)?.learnedAt ?? target.learnedAt;
	}
}
