import type {Phase, ProcessLifecycle, ShutdownSequence} from '@yuccawood/lifecycle';

/** Options of `stopAfterDrain`. */
export type StopOptions = {
	readonly lifecycle: Pick<ProcessLifecycle, 'onChange' | 'mustExit' | 'markStopped'>;
	readonly shutdown: Pick<ShutdownSequence, 'run'>;

	/** True if the process stops after every drain. False if it stops only when `lifecycle.mustExit` is set, and otherwise waits to resume. */
	readonly stopsAfterEveryDrain: boolean;

	/** Called with every new phase, before a shutdown starts. */
	readonly onPhase?: (phase: Phase) => void;
};

/** Runs the shutdown when the process drains. Resolves when the shutdown has completed. */
export const stopAfterDrain = async ({lifecycle, shutdown, stopsAfterEveryDrain: stopsAlways, onPhase = () => undefined}: StopOptions): Promise<void> => {
	await new Promise<void>((resolve, reject) => {
		const stop = async (): Promise<void> => {
			try {
				await shutdown.run();
				lifecycle.markStopped();
				resolve();
			} catch (error) {
				reject(error instanceof Error ? error : new Error(String(error)));
			}
		};

		lifecycle.onChange(phase => {
			onPhase(phase);
			if (phase === 'draining' && (stopsAlways || lifecycle.mustExit)) {
				void stop();
			}
		});
	});
};
