/** Sends the state of this agent's upstream to all connected entries, on each change and as a heartbeat. One JSON object per line. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {PeerServer} from '@yuccawood/common';
import type {UpstreamReport} from '@yuccawood/fleet';
import {FEED_PATH, HEARTBEAT_INTERVAL_MS, MAX_BUFFERED_BYTES} from './constants.js';

export class ReportFeed {
	readonly #readers = new Set<ServerResponse>();
	#lastLine: string | undefined;
	#heartbeat: NodeJS.Timeout | undefined;

	constructor({peerServer}: {readonly peerServer: PeerServer}) {
		peerServer.registerHandler(FEED_PATH, (request, response) => {
			this.#addReader(request, response);
		});
	}

	/** Number of connected entries. */
	get readerCount(): number {
		return this.#readers.size;
	}

	/** Sends the report unless it equals the previous one. */
	publish(report: UpstreamReport): void {
		const line = `${JSON.stringify(report)}\n`;
		if (line === this.#lastLine) {
			return;
		}

		this.#lastLine = line;
		this.#send();
	}

	close(): void {
		clearTimeout(this.#heartbeat);
		for (const reader of this.#readers) {
			reader.destroy();
		}
	}

	#send(): void {
		clearTimeout(this.#heartbeat);
		this.#heartbeat = setTimeout(() => {
			this.#send();
		}, HEARTBEAT_INTERVAL_MS);
		if (this.#lastLine === undefined) {
			return;
		}

		for (const reader of this.#readers) {
			if (reader.writableLength > MAX_BUFFERED_BYTES) {
				reader.destroy();
			} else {
				reader.write(this.#lastLine);
			}
		}
	}

	#addReader(request: IncomingMessage, response: ServerResponse): void {
		request.resume();
		response.writeHead(200, {'content-type': 'application/x-ndjson'});
		if (this.#lastLine !== undefined) {
			response.write(this.#lastLine);
		}

		this.#readers.add(response);
		response.on('close', () => {
			this.#readers.delete(response);
		});
	}
}
