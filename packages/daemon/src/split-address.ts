/** Splits an `IP:port` that was validated before. Removes the brackets of an IPv6 address. */
export const splitAddress = (address: string): {readonly host: string; readonly port: number} => {
	const separator = address.lastIndexOf(':');
	return {host: address.slice(0, separator).replaceAll(/[[\]]/g, ''), port: Number(address.slice(separator + 1))};
};
