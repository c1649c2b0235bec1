//! Error replies, which clients get in place of a result. No other module knows their error codes
//! and field names on the wire.

use eideryard::interface::Micros;
use eideryard_msgpack_rpc::write_error;

#[cfg(test)]
mod tests;

const MICROS_PER_MS: Micros = 1000;

/// What an error means for the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The request was not run; the client may resend it.
    TryLater,
    /// The request has failed.
    Failed,
    /// A field of the request is invalid.
    Invalid,
    /// The spooled result was deleted, or never existed.
    Gone,
    /// The page token was not issued by this service, or was issued for another request.
    Forged,
}

impl ErrorKind {
    /// Returns the error code on the wire.
    fn wire_word(self) -> &'static str {
        match self {
            ErrorKind::TryLater => "TryLater",
            ErrorKind::Failed => "Failed",
            ErrorKind::Invalid => "Invalid",
            ErrorKind::Gone => "Gone",
            ErrorKind::Forged => "Forged",
        }
    }
}

/// An error reply: the kind of the error and optional details.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorReply<'a> {
    pub kind: ErrorKind,
    /// The wire name of the invalid field, for [`ErrorKind::Invalid`].
    pub field: Option<&'a str>,
    /// Why the request was rejected or has failed, as a word or phrase.
    pub reason: Option<&'a str>,
    /// The retry-after hint; sent in milliseconds. `None`: the reply contains no hint.
    pub retry_after: Option<Micros>,
}

impl<'a> ErrorReply<'a> {
    /// Creates an error without details.
    pub fn new(kind: ErrorKind) -> Self {
        ErrorReply {
            kind,
            field: None,
            reason: None,
            retry_after: None,
        }
    }

    /// Creates an error whose only detail is the reason.
    pub fn with_reason(kind: ErrorKind, reason: &'a str) -> Self {
        ErrorReply {
            reason: Some(reason),
            ..ErrorReply::new(kind)
        }
    }

    /// Appends the reply to the request with the message ID `call_id`.
    pub fn write(&self, output: &mut Vec<u8>, call_id: u32) {
        let retry_after_ms = self
            .retry_after
            .map(|after| (after / MICROS_PER_MS).to_string());
        let fields = [
            ("field", self.field),
            ("why", self.reason),
            ("w", retry_after_ms.as_deref()),
        ];
        let present_fields: Vec<(&str, &str)> = fields
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)))
            .collect();
        write_error(output, call_id, self.kind.wire_word(), &present_fields);
    }
}
