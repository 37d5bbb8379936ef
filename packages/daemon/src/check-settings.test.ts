import {expect} from 'chai';
import {checkSettings} from './check-settings.js';

const AGENT = `[process]
role = agent
id = engine-1
region = western
failure_domain = western-a
[peer]
listen = 127.0.0.1:7401
[upstream]
kind = engine
service = kit-assistant
address = 127.0.0.1:9001
checks_fencing = yes
[platform]
key_value = 127.0.0.1:9100
origin = 127.0.0.1:9200
[weights]
store_region = western
`;

describe('checkSettings', () => {
	describe('with complete settings', () => {
		it('fills in defaults', () => {
			const settings = checkSettings(AGENT).unwrap();
			expect(settings).to.deep.include({role: 'agent', id: 'engine-1', stopLimitMs: 600_000});
		});
	});

	describe('with faults', () => {
		it('lists all of them with their lines', () => {
			const text = AGENT.replace('listen = 127.0.0.1:7401', 'listen = host').replace('origin = 127.0.0.1:9200\n', '').replace('[weights]', '[weight]');
			const result = checkSettings(text);
			const faultLocations = result.err ? result.val.map(({section, key, line}) => [section, key, line]) : [];
			expect(faultLocations).to.deep.include(['peer', 'listen', 7]);
			expect(faultLocations).to.deep.include(['platform', 'origin', 13]);
			expect(faultLocations).to.deep.include(['weight', undefined, 15]);
			expect(faultLocations).to.deep.include(['weights', 'store_region', 1]);
		});

		it('requires the order lock if the engine ignores fencing numbers, as a paused agent and its successor could otherwise both send orders', () => {
			const result = checkSettings(AGENT.replace('checks_fencing = yes', 'checks_fencing = no'));
			expect(result.err && result.val.map(({key}) => key)).to.deep.equal(['order_lock']);
		});
	});
});
