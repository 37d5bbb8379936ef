/** TCP relay in front of the store, whose open connections can be made silent while new ones work. */
import net from 'node:net';

export class Relay {
	#pairs = new Set();
	#server;

	/** @param target `IP:port` */
	constructor(target) {
		const [host, port] = target.split(':');
		this.#server = net.createServer(near => {
			const far = net.connect({host, port: Number(port), noDelay: true});
			near.setNoDelay(true);
			const pair = {
				near, far, isSilent: false, bytesLeft: Number.POSITIVE_INFINITY,
			};
			this.#pairs.add(pair);
			const forward = (from, to) => {
				from.on('data', bytes => {
					if (pair.isSilent) {
						return;
					}

					to.write(from === far ? bytes.subarray(0, pair.bytesLeft) : bytes);
					pair.bytesLeft -= from === far ? bytes.byteLength : 0;
					pair.isSilent = pair.bytesLeft <= 0;
				});
				from.on('error', () => undefined);
				from.on('close', () => {
					this.#pairs.delete(pair);
					if (!pair.isSilent || from === near) {
						to.destroy();
					}
				});
			};

			forward(near, far);
			forward(far, near);
		});
	}

	/** @returns the address, `IP:port` */
	async listen(host) {
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		return `${host}:${this.#server.address().port}`;
	}

	/** From now on, the connections that are open carry nothing. They stay open. @returns their number */
	silence() {
		for (const pair of this.#pairs) {
			pair.isSilent = true;
		}

		return this.#pairs.size;
	}

	/** As {@link Relay.silence}, in the middle of what is answered next: after so many bytes of it. */
	silenceAfter(bytes) {
		for (const pair of this.#pairs) {
			pair.bytesLeft = bytes;
		}

		return this.#pairs.size;
	}

	close() {
		for (const {near, far} of this.#pairs) {
			near.destroy();
			far.destroy();
		}

		this.#server.close();
	}
}
