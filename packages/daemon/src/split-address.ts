/** Host and port of a checked `IP:port`. */
export const splitAddress = (address: string): {readonly host: string; readonly port: number} => {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator).replaceAll(/[[\]]/g, ''), port: Number(address.slice(separator + 1))};
};
