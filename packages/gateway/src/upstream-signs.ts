/** Signs by which a crash of an upstream is told from connections that break for another reason. Times are monotonic milliseconds. */
export type UpstreamSigns = {
	/** Time of its latest data; undefined if this entry has received none. */
	readonly lastDataAt: number | undefined;

	/** When the oldest request was sent that it still has from this entry; undefined if it has none. */
	readonly oldestSendAt: number | undefined;
};
