/** Faults and logs of stand-ins that run as processes. */
import {request} from 'undici';
import type {LogEntry} from '@yuccawood/stand-ins';

export const setFaults = async (address: string, faults: Readonly<Record<string, unknown>>): Promise<void> => {
	const {statusCode, body} = await request(`http://${address}/faults`, {method: 'POST', body: JSON.stringify(faults)});
	const text = await body.text();
	if (statusCode !== 200) {
		throw new Error(`The stand-in at ${address} refused the faults: ${text}`);
	}
};

export const setVms = async (address: string, vms: ReadonlyArray<{readonly id: string; readonly state: 'live' | 'leaving'}>): Promise<void> => {
	const {body} = await request(`http://${address}/vms`, {method: 'PUT', body: JSON.stringify(vms)});
	await body.dump();
};

export const readLog = async (address: string): Promise<readonly LogEntry[]> => {
	const {body} = await request(`http://${address}/log`);
	return await body.json() as readonly LogEntry[];
};
