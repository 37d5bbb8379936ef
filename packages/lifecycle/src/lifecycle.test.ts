import {MemoryMetrics, SILENT_LOG, SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {
	drainOnSignals, ProcessLifecycle, ShutdownSequence, WorkInProgress, type SignalSource,
} from './index.js';

const sequenceOf = (steps: ConstructorParameters<typeof ShutdownSequence>[0]['steps']): ShutdownSequence => new ShutdownSequence({
	steps, clock: new SystemClock(), log: SILENT_LOG, metrics: new MemoryMetrics(), defaultLimitMs: 50,
});

describe('ProcessLifecycle', () => {
	it('resumes only if nothing but the configuration asked it to leave', () => {
		const lifecycle = new ProcessLifecycle({log: SILENT_LOG});
		lifecycle.markServing();
		lifecycle.drain('configuration');
		lifecycle.resume();
		expect(lifecycle.phase).to.equal('serving');
		lifecycle.drain('configuration');
		lifecycle.drain('vm-list');
		lifecycle.resume();
		expect(lifecycle.phase).to.equal('draining');
		expect(lifecycle.mustExit).to.equal(true);
	});

	it('notifies its listeners again when a process that drains for the configuration has to exit', () => {
		const lifecycle = new ProcessLifecycle({log: SILENT_LOG});
		const mustExitOnDrain: boolean[] = [];
		lifecycle.onChange(phase => {
			if (phase === 'draining') {
				mustExitOnDrain.push(lifecycle.mustExit);
			}
		});
		lifecycle.markServing();
		lifecycle.drain('configuration');
		lifecycle.drain('signal');
		expect(mustExitOnDrain).to.deep.equal([false, true]);
	});

	it('does not serve if it was asked to leave during the start', () => {
		const lifecycle = new ProcessLifecycle({log: SILENT_LOG});
		lifecycle.drain('signal');
		lifecycle.markServing();
		expect(lifecycle.phase).to.equal('draining');
	});

	it('drains on a signal, and continues to drain on a repeated one', () => {
		const listeners = new Map<string, () => void>();
		const source: SignalSource = {
			on: (signal, listener) => listeners.set(signal, listener),
			off: signal => listeners.delete(signal),
		};
		const lifecycle = new ProcessLifecycle({log: SILENT_LOG});
		lifecycle.markServing();
		const stop = drainOnSignals({lifecycle, source});
		listeners.get('SIGTERM')?.();
		listeners.get('SIGTERM')?.();
		expect(lifecycle.phase).to.equal('draining');
		stop();
		expect(listeners.size).to.equal(0);
	});
});

describe('ShutdownSequence', () => {
	it('closes only after a stream in progress has ended, without a time limit', async () => {
		const work = new WorkInProgress();
		const order: string[] = [];
		const endStream = work.begin();
		const sequence = sequenceOf([
			{
				name: 'refuse', run() {
					order.push('refused');
				},
			},
			{name: 'wait', limitMs: 'none', run: async () => work.waitUntilIdle()},
			{
				name: 'close', run() {
					order.push('closed');
				},
			},
		]);
		const stopped = sequence.run();
		// Four times the default limit of a step.
		await new SystemClock().sleep(200);
		order.push('stream ended');
		endStream();
		endStream();
		await stopped;
		expect(order).to.deep.equal(['refused', 'stream ended', 'closed']);
		expect(work.count).to.equal(0);
	});

	it('continues after a step that fails or hangs', async () => {
		const reports = await sequenceOf([
			{
				name: 'fails', run() {
					throw new Error('no');
				},
			},
			{
				name: 'hangs', run: async () => new Promise(() => {
					// Never ends.
				}),
			},
			{
				name: 'closes', run() {
					// Ends at once.
				},
			},
		]).run();
		expect(reports.map(({outcome}) => outcome)).to.deep.equal(['failed', 'timed-out', 'done']);
	});
});
