//! Errors that clients are told in place of a result. This is the one place that turns them into
//! words and fields of the wire.

use eideryard::interface::Micros;
use eideryard_msgpack_rpc::write_error;

#[cfg(test)]
mod tests;

const MICROS_PER_MS: Micros = 1000;

/// The kind of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The request was not run; it may be sent again.
    TryLater,
    /// The request has failed.
    Failed,
    /// A field of the request is invalid.
    Invalid,
    /// The spooled result isn't there any more, or never was.
    Gone,
    /// The page token was not issued by this service, or for another request.
    Forged,
}

impl ErrorKind {
    /// The error's word on the wire.
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

/// An error with what the client is told beside its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorReply<'a> {
    pub kind: ErrorKind,
    /// The field that is invalid.
    pub field: Option<&'a str>,
    /// The reason.
    pub reason: Option<&'a str>,
    /// When the client is advised to try again, from now.
    pub retry_after: Option<Micros>,
}

impl<'a> ErrorReply<'a> {
    /// An error without details.
    pub fn new(kind: ErrorKind) -> Self {
        ErrorReply {
            kind,
            field: None,
            reason: None,
            retry_after: None,
        }
    }

    /// An error with a reason.
    pub fn with_reason(kind: ErrorKind, reason: &'a str) -> Self {
        ErrorReply {
            reason: Some(reason),
            ..ErrorReply::new(kind)
        }
    }

    /// Appends the answer to the request of that number.
    pub fn write(&self, output: &mut Vec<u8>, call_id: u32) {
        let retry_after_ms = self
            .retry_after
            .map(|after| (after / MICROS_PER_MS).to_string());
        let fields = [
            ("field", self.field),
            ("why", self.reason),
            ("w", retry_after_ms.as_deref()),
        ];
        let stated: Vec<(&str, &str)> = fields
            .into_iter()
            .filter_map(|(name, value)| Some((name, value?)))
            .collect();
        write_error(output, call_id, self.kind.wire_word(), &stated);
    }
}
