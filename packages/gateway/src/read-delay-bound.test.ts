import {spawn} from 'node:child_process';
import net, {type AddressInfo} from 'node:net';
import process from 'node:process';
import {SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {eventLoopTimes, ReadDelay} from './read-delay.js';

const clock = new SystemClock();

/** Keeps the process from handling events. */
const block = (milliseconds: number): void => {
	const end = clock.monotonic() + milliseconds;
	while (clock.monotonic() < end) {
		// The process is busy.
	}
};

/** Serves a port and prints the bound when bytes are read. */
const READER = `
	import net from 'node:net';
	import {performance} from 'node:perf_hooks';
	const {eventLoopTimes, ReadDelay} = await import(${JSON.stringify(new URL('read-delay.js', import.meta.url).href)});
	const delay = new ReadDelay(eventLoopTimes(() => performance.now()));
	delay.start();
	net.createServer(socket => {
		socket.on('data', () => {
			console.log('bound', delay.boundMs);
		});
	}).listen(0, '127.0.0.1', function () {
		console.log('port', this.address().port);
	});
`;

describe('the bound of ReadDelay', () => {
	it('covers the time for which an idle process was frozen', async () => {
		const child = spawn(process.execPath, ['--input-type=module', '-e', READER], {stdio: ['ignore', 'pipe', 'inherit']});
		try {
			let output = '';
			child.stdout.on('data', (part: Uint8Array) => {
				output += new TextDecoder().decode(part);
			});
			const waitFor = async (name: string): Promise<number> => {
				for (;;) {
					const found = new RegExp(`${name} (\\S+)\\n`).exec(output);
					if (found) {
						return Number(found[1]);
					}

					await clock.sleep(10);
				}
			};

			const port = await waitFor('port');
			const socket = net.connect(port, '127.0.0.1');
			await clock.sleep(300);
			child.kill('SIGSTOP');
			await clock.sleep(50);
			socket.write('x');
			await clock.sleep(700);
			child.kill('SIGCONT');
			expect(await waitFor('bound')).to.be.at.least(690);
			socket.destroy();
		} finally {
			child.kill('SIGKILL');
		}
	});

	it('covers the poll before, also if the timers of one turn take longer than the interval of the looks', async () => {
		const delay = new ReadDelay(eventLoopTimes(clock.monotonic));
		delay.start();
		const server = net.createServer().listen(0, '127.0.0.1');
		await new Promise(resolve => {
			server.once('listening', resolve);
		});
		const accepted = new Promise<net.Socket>(resolve => {
			server.once('connection', resolve);
		});
		const client = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
		const socket = await accepted;
		try {
			await clock.sleep(100);
			let sentAt = 0;
			const bound = new Promise<{readonly boundMs: number; readonly waitedMs: number}>(resolve => {
				socket.once('data', () => {
					resolve({boundMs: delay.boundMs, waitedMs: clock.monotonic() - sentAt});
				});
			});
			// The time limits of many requests end while the process is busy.
			for (let index = 0; index < 40; index++) {
				setTimeout(() => {
					block(4);
				}, 30 + index);
			}

			setImmediate(() => {
				// The kernel has the bytes before the process is busy.
				client.write('x');
				sentAt = clock.monotonic();
				block(300);
			});
			const {boundMs, waitedMs} = await bound;
			expect(boundMs).to.be.at.least(waitedMs - 5);
		} finally {
			delay.stop();
			client.destroy();
			socket.destroy();
			server.close();
		}
	});

	it('does not cover the start of the process, in which no bytes could arrive', () => {
		const delay = new ReadDelay(eventLoopTimes(clock.monotonic));
		block(300);
		delay.start();
		try {
			expect(delay.boundMs).to.be.at.most(20);
		} finally {
			delay.stop();
		}
	});
});
