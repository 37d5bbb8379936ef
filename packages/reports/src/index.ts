/** Feeds of live upstream state from agents to entries. */
export {ReportFeed} from './report-feed.js';
export {ReportReader, type ReportReaderOptions} from './report-reader.js';
