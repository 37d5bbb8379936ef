/** Live state of upstreams from the agents beside them to the entries. */
export {ReportFeed} from './report-feed.js';
export {ReportReader, type ReportReaderOptions} from './report-reader.js';
