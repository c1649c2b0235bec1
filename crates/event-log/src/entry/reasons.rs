//! Why messages are rejected and connections closed.

/// Why a message of a client was rejected before the decision module saw a request, or why a
/// request was refused for want of a durable intent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The message can't be used.
    Invalid,
    /// Statements of open requests fill the memory that is set aside for them.
    StatementMemoryFull,
    /// The client's connection had ended.
    ClientDisconnected,
    /// The intent log is full.
    IntentLogFull,
    /// The intent log's store has not written for too long.
    StoreStalled,
    /// No majority of voters confirmed the intent.
    NoMajority,
}

impl RejectReason {
    /// All reasons; the index of each is its byte in the log.
    pub const ALL: [RejectReason; 6] = [
        RejectReason::Invalid,
        RejectReason::StatementMemoryFull,
        RejectReason::ClientDisconnected,
        RejectReason::IntentLogFull,
        RejectReason::StoreStalled,
        RejectReason::NoMajority,
    ];

    /// The reason as answers, logs and pages name it.
    pub fn name(self) -> &'static str {
        match self {
            RejectReason::Invalid => "invalid",
            RejectReason::StatementMemoryFull => "no room",
            RejectReason::ClientDisconnected => "gone",
            RejectReason::IntentLogFull => "ledger full",
            RejectReason::StoreStalled => "store stalled",
            RejectReason::NoMajority => "no majority",
        }
    }
}

/// Why the gateway closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client sent bytes that are no message.
    Malformed,
    /// No whole message or no progress within the time limit.
    IdleTimeout,
    /// The client's incomplete messages take more than its share of the memory for unread bytes.
    TooMuchUnread,
    /// The client doesn't read its answers.
    NotReading,
    /// The connection was closed in favour of a new one.
    Evicted,
}

impl CloseReason {
    /// All reasons; the index of each is its byte in the log.
    pub const ALL: [CloseReason; 5] = [
        CloseReason::Malformed,
        CloseReason::IdleTimeout,
        CloseReason::TooMuchUnread,
        CloseReason::NotReading,
        CloseReason::Evicted,
    ];
}
