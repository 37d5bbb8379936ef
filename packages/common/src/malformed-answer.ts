/** Bytes of a server that are no valid answer. */

/** The server sent bytes that are not a valid answer, or that exceed a limit. */
export class MalformedAnswerError extends Error {}

const MIN_STATUS = 100;
const MAX_STATUS = 599;

/** Whether a number is the status of an answer or an informational one. Undici takes every number of three digits for one. */
export const isStatus = (status: number): boolean => status >= MIN_STATUS && status <= MAX_STATUS;

const codeOf = (error: Error): string => (error as {readonly code?: string}).code ?? '';

/** Whether an error was caused by the bytes of an answer rather than by the connection. */
export const isMalformed = (error: Error): boolean => error instanceof MalformedAnswerError || codeOf(error).startsWith('HPE_') || codeOf(error) === 'UND_ERR_HEADERS_OVERFLOW';
