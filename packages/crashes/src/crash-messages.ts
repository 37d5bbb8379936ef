/** Checks what other entries send. The address of an entry may have become that of another process. */
import type {
	CrashReport, Enquiry, Suspect, Testimony,
} from './types.js';

const fieldsOf = (value: unknown): Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null ? value as Readonly<Record<string, unknown>> : {};

const isText = (value: unknown): value is string => typeof value === 'string';
const isAge = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0;
const isListOf = <Item>(value: unknown, isItem: (item: unknown) => item is Item): value is readonly Item[] => Array.isArray(value) && value.every(item => isItem(item));

const isSuspect = (value: unknown): value is Suspect => {
	const {id, depth} = fieldsOf(value);
	return isText(id) && typeof depth === 'number' && Number.isFinite(depth);
};

const isSuccess = (value: unknown): value is Testimony['successes'][number] => {
	const {id, ageMs} = fieldsOf(value);
	return isText(id) && isAge(ageMs);
};

const isSignOfLife = (value: unknown): value is Testimony['signsOfLife'][number] => {
	const {upstream, ageMs} = fieldsOf(value);
	return isText(upstream) && isAge(ageMs);
};

export const isCrashReport = (value: unknown): value is CrashReport => {
	const {upstream, ageMs, suspects} = fieldsOf(value);
	return isText(upstream) && isAge(ageMs) && isListOf(suspects, isSuspect);
};

export const isEnquiry = (value: unknown): value is Enquiry => {
	const {suspects, upstreams} = fieldsOf(value);
	return isListOf(suspects, isText) && isListOf(upstreams, isText);
};

export const isTestimony = (value: unknown): value is Testimony => {
	const {successes, signsOfLife} = fieldsOf(value);
	return isListOf(successes, isSuccess) && isListOf(signsOfLife, isSignOfLife);
};

export const isSuccessNotice = (value: unknown): value is {readonly id: string} => isText(fieldsOf(value).id);
