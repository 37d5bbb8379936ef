/** Small helpers for HTTP over loopback addresses. */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';

export const readBody = async message => {
	const parts = [];
	for await (const part of message) {
		parts.push(part);
	}

	return Buffer.concat(parts);
};

export const sendJson = (response, status, value) => {
	if (response.destroyed || response.headersSent) {
		return;
	}

	const body = JSON.stringify(value);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
	response.end(body);
};

export const sleep = async milliseconds => new Promise(resolve => {
	setTimeout(resolve, milliseconds);
});

const canListen = async port => new Promise(resolve => {
	const server = net.createServer();
	server.once('error', () => {
		resolve(false);
	});
	server.listen(port, '127.0.0.1', () => {
		server.close(() => {
			resolve(true);
		});
	});
});

/** @returns the first of `count` free ports in a row */
export const freePorts = async count => {
	for (let attempt = 0; attempt < 200; attempt++) {
		const first = 20_000 + Math.floor(Math.random() * 10_000);
		const ports = Array.from({length: count}, (_, index) => first + index);
		const free = await Promise.all(ports.map(async port => canListen(port)));
		if (free.every(Boolean)) {
			return first;
		}
	}

	throw new Error('There are no free ports.');
};

/** @returns the status of `GET path`; undefined without an answer */
export const statusOf = async (port, path) => new Promise(resolve => {
	const request = http.get({
		host: '127.0.0.1', port, path, agent: false, timeout: 1000,
	}, response => {
		response.resume();
		resolve(response.statusCode);
	});
	request.once('timeout', () => {
		request.destroy();
	});
	request.once('error', () => {
		resolve(undefined);
	});
});
