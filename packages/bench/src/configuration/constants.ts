/** Regions of the VMs, in turn. */
export const REGIONS = ['western', 'northern', 'southern'] as const;

/** Time without edits in which the control load is measured, in milliseconds. */
export const QUIET_MS = 10_000;

/** Time for the member tables to fill before a measurement, in milliseconds. */
export const SETTLE_MS = 3000;

/** Edits made one after the other, and the mean pause between them in milliseconds. */
export const SINGLE_EDITS = 12;
export const EDIT_PAUSE_MS = 700;

/** Writers that race, and edits that each makes. */
export const RACING_WRITERS = 6;
export const EDITS_PER_WRITER = 5;

/** One VM in this many is frozen. */
export const FROZEN_ONE_IN = 10;

/** Time for which the VMs are frozen, in milliseconds. */
export const FREEZE_MS = 5000;

/** Time into the freeze at which the edit is made, in milliseconds. */
export const EDIT_IN_FREEZE_MS = 1000;

/** Longest wait for a revision, in milliseconds. */
export const IN_FORCE_LIMIT_MS = 20_000;

/** Time in which all VMs must have started, in milliseconds. */
export const START_LIMIT_MS = 60_000;
