import {expect} from 'chai';
import {HedgedSend, type SendControl} from './hedged-send.js';
import type {SendResult} from './send-result.js';
import type {ConnectedUpstream} from './upstream-states.js';

const stateOf = (id: string): ConnectedUpstream => ({upstream: {id, key: id}}) as ConnectedUpstream; // eslint-disable-line @typescript-eslint/consistent-type-assertions

const DELIVERED: SendResult = {kind: 'delivered', mayHaveRun: true};

/** The send found too little time left to begin. */
const OUT_OF_TIME: SendResult = {
	kind: 'ended', by: 'deadline', mayHaveRun: false, isSilence: false,
};

const REFUSED: SendResult = {
	kind: 'failed', failure: 'not-run', detail: 'status 503', mayHaveRun: false,
};

/** A send that a test ends. */
type Open = {readonly control: SendControl; readonly end: (result: SendResult) => void};

describe('HedgedSend', () => {
	let sends: Map<string, Open>;
	let losses: string[];
	let others: ConnectedUpstream[];
	let outcome: ReturnType<HedgedSend['run']>;

	const settle = async (): Promise<void> => new Promise(resolve => {
		setImmediate(resolve);
	});

	beforeEach(() => {
		sends = new Map();
		losses = [];
		others = ['second', 'third'].map(id => stateOf(id));
		const hedgedSend = new HedgedSend({
			send: async ({upstream}, control) => new Promise(resolve => {
				sends.set(upstream.id, {control, end: resolve});
			}),
			takeSlot: () => others.shift(),
			onLoss({state, result}) {
				losses.push(`${state.upstream.id}: ${result.kind}`);
			},
		});
		outcome = hedgedSend.run(stateOf('first'));
		sends.get('first')!.control.onStall(1000);
	});

	const isWithdrawn = (id: string): boolean => sends.get(id)!.control.withdrawal.aborted;

	describe('when the second send ends without an answer', () => {
		it('goes on with the first one, also if that comes after a refusal by another upstream', async () => {
			sends.get('second')!.end(REFUSED);
			await settle();
			sends.get('third')!.end(OUT_OF_TIME);
			await settle();
			expect(isWithdrawn('first')).to.equal(false);
			sends.get('first')!.end(DELIVERED);
			const {result} = await outcome;
			expect(result).to.equal(DELIVERED);
			expect(losses).to.deep.equal(['second: failed', 'third: ended']);
		});
	});

	describe('when both sends end', () => {
		it('has the result of the last one', async () => {
			sends.get('first')!.end(OUT_OF_TIME);
			await settle();
			sends.get('second')!.end(OUT_OF_TIME);
			const {state, result} = await outcome;
			expect({id: state.upstream.id, result}).to.deep.equal({id: 'second', result: OUT_OF_TIME});
		});
	});

	describe('when one send brings the whole answer', () => {
		it('withdraws the other one', async () => {
			sends.get('second')!.end(DELIVERED);
			await outcome;
			expect(isWithdrawn('first')).to.equal(true);
		});
	});
});
