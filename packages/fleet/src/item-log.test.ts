import {SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {ItemLog} from './item-log.js';

describe('ItemLog', () => {
	it('returns the missing items of a part although both know a later change of another part', () => {
		const clock = new SystemClock();
		const asker = new ItemLog({clock});
		const peer = new ItemLog({clock});
		for (const log of [asker, peer]) {
			log.record({key: 'upstreams/a', value: 'ready', revision: 30});
		}

		peer.record({key: 'versions/m', value: '3', revision: 20});
		expect(peer.changesSince(asker.stateOf('versions/', 10)).map(({key}) => key)).to.deep.equal(['versions/m']);
	});

	it('returns older missing items and none that the asker already has', () => {
		const clock = new SystemClock();
		const asker = new ItemLog({clock});
		const peer = new ItemLog({clock});
		asker.record({key: 'upstreams/b', value: undefined, revision: 32});
		peer.record({key: 'upstreams/a', value: 'draining', revision: 31});
		peer.record({key: 'upstreams/b', value: undefined, revision: 32});
		expect(peer.changesSince(asker.stateOf('upstreams/', 30)).map(({key}) => key)).to.deep.equal(['upstreams/a']);
	});
});
