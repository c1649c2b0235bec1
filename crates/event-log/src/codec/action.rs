//! Actions of the decision module.

use eideryard::interface::{request_timer_tag, Action};

use super::primitives::{Decoder, Encoder};
use super::{kind, DecodeError, Decoded};
use crate::entry::request_of_timer;

/// Appends an action's content and returns its kind.
pub(super) fn encode(encoder: &mut Encoder<'_>, action: &Action) -> u8 {
    match action {
        Action::Grant {
            request,
            grant_mb,
            rank,
        } => {
            encoder.put_request(*request);
            encoder.put_real(*grant_mb);
            encoder.put_byte(*rank);
            kind::GRANT
        }
        Action::Send {
            request,
            engine,
            attempt_deadline,
        } => {
            encoder.put_request(*request);
            encoder.put_engine(*engine);
            encoder.put_time_after(*attempt_deadline);
            kind::SEND
        }
        Action::Probe { engine } => {
            encoder.put_engine(*engine);
            kind::PROBE
        }
        Action::Cancel { request, attempt } => {
            encoder.put_request(*request);
            encoder.put_index(*attempt);
            kind::CANCEL
        }
        Action::Refuse {
            request,
            retry_after,
        } => {
            encoder.put_request(*request);
            encoder.put_number(*retry_after);
            kind::REFUSE
        }
        Action::Fail { request } => {
            encoder.put_request(*request);
            kind::FAIL
        }
        Action::SetTimer { after, tag } => {
            encoder.put_number(*after);
            encoder.put_timer_tag(*tag);
            kind::SET_TIMER
        }
        Action::Subscribe => kind::SUBSCRIBE,
        Action::Log(text) => {
            encoder.put_text(text);
            kind::LOG
        }
    }
}

/// Reads the content of an action of this kind.
pub(super) fn decode(decoder: &mut Decoder<'_>, kind: u8) -> Decoded<Action> {
    Ok(match kind {
        kind::GRANT => Action::Grant {
            request: decoder.read_request()?,
            grant_mb: decoder.read_real()?,
            rank: decoder.read_byte()?,
        },
        kind::SEND => Action::Send {
            request: decoder.read_request()?,
            engine: decoder.read_engine()?,
            attempt_deadline: decoder.read_time_after()?,
        },
        kind::PROBE => Action::Probe {
            engine: decoder.read_engine()?,
        },
        kind::CANCEL => Action::Cancel {
            request: decoder.read_request()?,
            attempt: decoder.read_index()?,
        },
        kind::REFUSE => Action::Refuse {
            request: decoder.read_request()?,
            retry_after: decoder.read_number()?,
        },
        kind::FAIL => Action::Fail {
            request: decoder.read_request()?,
        },
        kind::SET_TIMER => Action::SetTimer {
            after: decoder.read_number()?,
            tag: decoder.read_timer_tag()?,
        },
        kind::SUBSCRIBE => Action::Subscribe,
        kind::LOG => Action::Log(decoder.read_text()?),
        kind => return Err(DecodeError::UnknownKind(kind)),
    })
}

impl Encoder<'_> {
    /// The tag of a request's deadline timer is encoded as the request, others as numbers.
    pub(super) fn put_timer_tag(&mut self, tag: u64) {
        let request = request_of_timer(tag);
        self.put_flag(request.is_some());
        match request {
            Some(request) => self.put_request(request),
            None => self.put_number(tag),
        }
    }
}

impl Decoder<'_> {
    pub(super) fn read_timer_tag(&mut self) -> Decoded<u64> {
        if self.read_flag()? {
            Ok(request_timer_tag(self.read_request()?))
        } else {
            self.read_number()
        }
    }
}
