/** Minimal pass-through hop without any logic: Node `http` and undici. Usage: `bare-hop.js LISTEN TARGET`. */
import http from 'node:http';
import process from 'node:process';
import {Pool} from 'undici';

const [listen, target] = process.argv.slice(2);
const pool = new Pool(`http://${target}`);

const pass = async (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> => {
	const {connection, host, 'transfer-encoding': encoding, ...headers} = request.headers;
	await pool.stream({
		method: request.method ?? 'GET', path: request.url ?? '/', headers, body: request,
	}, ({statusCode, headers: answer}) => response.writeHead(statusCode, answer));
};

const server = http.createServer((request, response) => {
	void pass(request, response);
});
const [host, port] = listen.split(':');
server.listen(Number(port), host, () => {
	process.stdout.write(`${JSON.stringify({address: listen})}\n`);
});
