/** Faults, logs and counters of the stand-ins that run as processes. */

export const setFaults = async (address: string, faults: Readonly<Record<string, unknown>>): Promise<void> => {
	const response = await fetch(`http://${address}/faults`, {method: 'POST', body: JSON.stringify(faults)});
	await response.arrayBuffer();
};

export const readLog = async <Entry>(address: string): Promise<readonly Entry[]> => {
	const response = await fetch(`http://${address}/log`);
	return await response.json() as readonly Entry[];
};

export const readCounters = async (address: string): Promise<Readonly<Record<string, number>>> => {
	const response = await fetch(`http://${address}/counters`);
	return await response.json() as Readonly<Record<string, number>>;
};

/** Bytes that the origin has sent in all. */
export const readBytesServed = async (origin: string): Promise<number> => {
	const response = await fetch(`http://${origin}/served`);
	const {bytesServed} = await response.json() as {readonly bytesServed: number};
	return bytesServed;
};
