import type {Phase, ProcessLifecycle, ShutdownSequence} from '@yuccawood/lifecycle';

export type StopOptions = {
	readonly lifecycle: Pick<ProcessLifecycle, 'onChange' | 'mustExit' | 'markStopped'>;
	readonly shutdown: Pick<ShutdownSequence, 'run'>;

	/** True if the process stops after each drain; otherwise only when a signal or the platform asked for it. */
	readonly stopsAlways: boolean;

	/** Called when the process drains and stays, and when it serves again. */
	readonly onPhase?: (phase: Phase) => void;
};

/** @returns a promise that resolves when the process has stopped as planned. */
export const stopAfterDrain = async ({lifecycle, shutdown, stopsAlways, onPhase = () => undefined}: StopOptions): Promise<void> => {
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
