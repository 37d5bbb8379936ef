/** Serves the metrics of a process over HTTP in Prometheus' text format. */
import http from 'node:http';
import type {PrometheusMetrics} from '@yuccawood/common';

export const serveMetrics = ({metrics, host, port, gauges}: {
	readonly metrics: PrometheusMetrics;
	readonly host: string;
	readonly port: number;

	/** Called before each read, to set the gauges. */
	readonly gauges: () => void;
}): http.Server => {
	const server = http.createServer(async (request, response) => {
		request.resume();
		gauges();
		const text = await metrics.text();
		response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
		response.end(text);
	});
	server.listen(port, host);
	return server;
};
