//! The kinds of entries, stored as the first byte of each entry. The numbers are part of the stored
//! format and must not change.

pub const ENDPOINT_SNAPSHOT: u8 = 1;
pub const ENDPOINT_CHANGES: u8 = 2;
pub const DISCOVERY_FAILED: u8 = 3;
pub const ARRIVED: u8 = 4;
pub const STREAM_BEGAN: u8 = 5;
pub const PROGRESS_REPORTED: u8 = 6;
pub const ATTEMPT_ENDED: u8 = 7;
pub const PROBED: u8 = 8;
pub const CLIENT_LEFT: u8 = 9;
pub const TIMER: u8 = 10;
/// Like [`ARRIVED`], for a request with prior attempts.
pub const ARRIVED_WITH_PRIOR_ATTEMPTS: u8 = 11;
pub const CHECKPOINT_RESTORED: u8 = 12;
pub const PRIOR_ATTEMPTS: u8 = 13;
/// Highest number that is reserved for events of the decision module.
pub const LAST_EVENT: u8 = 19;

pub const GRANT: u8 = 20;
pub const SEND: u8 = 21;
pub const PROBE: u8 = 22;
pub const CANCEL: u8 = 23;
pub const REFUSE: u8 = 24;
pub const FAIL: u8 = 25;
pub const SET_TIMER: u8 = 26;
pub const SUBSCRIBE: u8 = 27;
pub const LOG: u8 = 28;
/// Highest number that is reserved for actions of the decision module.
pub const LAST_ACTION: u8 = 39;

pub const SEGMENT_STARTED: u8 = 40;
pub const NAMES: u8 = 41;
pub const ENGINE: u8 = 42;
pub const OPEN_REQUEST: u8 = 43;
pub const TALLY: u8 = 44;
pub const STATE_COMPLETE: u8 = 45;
pub const CONNECTED: u8 = 46;
pub const DISCONNECTED: u8 = 47;
pub const REQUEST_RECEIVED: u8 = 48;
pub const REQUEST_REJECTED: u8 = 49;
pub const ANSWERED: u8 = 50;
pub const DISCOVERY_LINK: u8 = 51;
pub const DISCOVERY_EVENT: u8 = 52;
pub const CONFIG_RELOADED: u8 = 53;
pub const STOPPING: u8 = 54;
pub const ENDED: u8 = 55;
pub const GAP: u8 = 56;
pub const CONNECTION_CLOSING: u8 = 57;
pub const RETRY_ATTACHED: u8 = 58;
pub const HEARTBEAT: u8 = 59;
pub const REFUSAL_EXPLAINED: u8 = 60;
pub const PEER_STATE: u8 = 61;
pub const PEER_REJECTED: u8 = 62;
pub const VOTING_CHANGED: u8 = 63;
pub const MAJORITY_CHANGED: u8 = 64;
pub const LEASE_CHANGED: u8 = 65;
pub const WORK_RECEIVED: u8 = 66;
