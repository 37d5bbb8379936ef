import {fileURLToPath} from 'node:url';

/** Path of the committed transcript of a session. */
export const goldenFile = (name: string): string => fileURLToPath(new URL(`../../golden/${name}.txt`, import.meta.url));
