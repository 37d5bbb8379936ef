/** What the stand-ins need of HTTP servers. */

/** Reads the body of a request as text. */
export const bodyOf = async request => {
	let text = '';
	request.setEncoding('utf8');
	for await (const part of request) {
		text += part;
	}

	return text;
};

/** @returns the port in use; with port 0, the operating system chooses a free one */
export const listen = async (server, ip, port = 0) => new Promise((resolve, reject) => {
	server.once('error', reject);
	server.listen(port, ip, () => resolve(server.address().port));
});

export const closeServer = async server => {
	server.closeAllConnections();
	await new Promise(resolve => {
		server.close(resolve);
	});
};
