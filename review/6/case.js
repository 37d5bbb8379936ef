/** The first event of a stream has a wrong byte in its id. */
import {fileURLToPath} from 'node:url';
import {runCase} from '../stand-ins-2/installation.js';
import {sendStreams} from '../stand-ins-2/spoiled-streams.js';

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async installation => sendStreams(installation, {event: 1, line: 'id:91'}));
