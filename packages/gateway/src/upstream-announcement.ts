/** What an upstream has said in its answers about its own absence. It holds for one start of the upstream, also while that is not listed. */
export class UpstreamAnnouncement {
	/** Whether it leaves. It takes nothing back: only a new start is used again. */
	isLeaving = false;
	#refusesUntil = Number.NEGATIVE_INFINITY;

	/** Records that the upstream wants no requests until a monotonic time in milliseconds. */
	recordRefusal(until: number): void {
		this.#refusesUntil = Math.max(until, this.#refusesUntil);
	}

	/** Time in milliseconds for which the upstream still wants no requests; 0 if it takes them. */
	refusesForMs(now: number): number {
		return Math.max(0, this.#refusesUntil - now);
	}

	/** Whether there is nothing to keep. */
	isOver(now: number): boolean {
		return !this.isLeaving && this.refusesForMs(now) === 0;
	}
}

/** Most upstreams that are not listed and whose announcements are kept. */
const MAX_ANNOUNCEMENTS = 1000;

/** Announcements by the key of the upstream's start. */
export class UpstreamAnnouncements {
	readonly #announcements = new Map<string, UpstreamAnnouncement>();

	of(key: string): UpstreamAnnouncement {
		const announcement = this.#announcements.get(key) ?? new UpstreamAnnouncement();
		this.#announcements.set(key, announcement);
		return announcement;
	}

	/** Forgets what no longer matters of upstreams that are not listed. */
	removeOver(isListed: (key: string) => boolean, now: number): void {
		for (const [key, announcement] of this.#announcements) {
			if (!isListed(key) && (announcement.isOver(now) || this.#announcements.size > MAX_ANNOUNCEMENTS)) {
				this.#announcements.delete(key);
			}
		}
	}
}
