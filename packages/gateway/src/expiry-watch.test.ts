import {SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {ExpiryWatch} from './expiry-watch.js';

const clock = new SystemClock();

describe('ExpiryWatch', () => {
	it('stops its timer once no request waits', async () => {
		const watch = new ExpiryWatch();
		let checks = 0;
		const request = {
			msUntilCancel() {
				checks++;
				return undefined;
			},
			cancel: () => undefined,
		};
		watch.add(request);
		watch.remove(request);
		await clock.sleep(600);
		const checksBefore = checks;
		await clock.sleep(600);
		expect(checks).to.equal(checksBefore);
	});

	it('checks no request again after it was closed', async () => {
		const watch = new ExpiryWatch();
		watch.close();
		let checks = 0;
		const request = {
			msUntilCancel() {
				checks++;
				return undefined;
			},
			cancel: () => undefined,
		};
		watch.add(request);
		const checksBefore = checks;
		await clock.sleep(600);
		watch.remove(request);
		expect(checks).to.equal(checksBefore);
	});

	it('keeps checking the others when one request fails to be cancelled', async () => {
		const watch = new ExpiryWatch();
		let isDue = false;
		let isCancelled = false;
		watch.add({
			msUntilCancel: () => isDue ? 0 : undefined,
			cancel() {
				throw new Error('cannot be cancelled');
			},
		});
		watch.add({
			msUntilCancel: () => isDue ? 0 : undefined,
			cancel() {
				isCancelled = true;
			},
		});
		isDue = true;
		expect(() => {
			watch.check();
		}).to.throw('cannot be cancelled');
		await clock.sleep(600);
		watch.close();
		expect(isCancelled).to.equal(true);
	});
});
