export {attributeCrashes, type AttributionOptions} from './attribute-crashes.js';
export {Blocklist} from './blocklist.js';
export {MIN_CRASHES, MIN_CRASHES_UNCONFIRMED, WHOLE_REQUEST_DEPTH} from './constants.js';
export {CrashExchange, type CrashExchangeOptions} from './crash-exchange.js';
export {CrashLedger} from './crash-ledger.js';
export {CrashReview, type CrashReviewOptions} from './crash-review.js';
export {NO_CRASH_PEERS} from './types.js';
export type {
	Attribution, Crash, CrashPeers, CrashReport, Enquiry, EnquiryResult, Suspect, Testimony,
} from './types.js';
