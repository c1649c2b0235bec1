//! The reasons why messages are rejected and connections are closed.

/// Why a client's message was rejected before it reached the decision module, or why a request was
/// refused because its intent could not be made durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The message is not a valid request.
    Invalid,
    /// The statements of open requests fill the memory that is reserved for them.
    StatementMemoryFull,
    /// The client's connection was already closed.
    ClientDisconnected,
    /// The intent log has reached its size limit.
    IntentLogFull,
    /// The intent log's store has not written for too long.
    StoreStalled,
    /// No majority of voters confirmed the intent.
    NoMajority,
}

impl RejectReason {
    /// All reasons. The log stores a reason as its index in this array.
    pub const ALL: [RejectReason; 6] = [
        RejectReason::Invalid,
        RejectReason::StatementMemoryFull,
        RejectReason::ClientDisconnected,
        RejectReason::IntentLogFull,
        RejectReason::StoreStalled,
        RejectReason::NoMajority,
    ];

    /// Returns the name of the reason in answers to clients, in logs and on report pages.
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
    /// The client sent bytes that can't be parsed as a message.
    Malformed,
    /// The client completed no message, or made no progress with one, within the time limit.
    IdleTimeout,
    /// The client's incomplete messages take more than the connection's share of the memory for
    /// unread bytes.
    TooMuchUnread,
    /// The client doesn't read its answers.
    NotReading,
    /// The connection was closed to make room for a new one.
    Evicted,
}

impl CloseReason {
    /// All reasons. The log stores a reason as its index in this array.
    pub const ALL: [CloseReason; 5] = [
        CloseReason::Malformed,
        CloseReason::IdleTimeout,
        CloseReason::TooMuchUnread,
        CloseReason::NotReading,
        CloseReason::Evicted,
    ];
}
