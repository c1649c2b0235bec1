//! Reads a request from the fields of a client's message. The field names are those of the wire
//! protocol; no other module uses them.

use eideryard::interface::Micros;

use super::names::{index_of, Names};
use super::RequestLabels;

/// The length of a request ID in hex digits.
const ID_DIGITS: usize = 16;
/// The length of an idempotency key in hex digits.
const KEY_DIGITS: usize = 32;
/// The maximum length of an ordering key in bytes.
const MAX_ORDER_KEY_LENGTH: usize = 64;
const MICROS_PER_MS: f64 = 1e3;
/// The names of all fields of a request on the wire; other fields are ignored.
const FIELD_NAMES: [&str; 9] = ["i", "d", "t", "r", "k", "o", "h", "ram", "p"];

/// Why a call is invalid. Most variants name the field that is missing or has an invalid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    Class,
    Id,
    Wait,
    Tenant,
    Key,
    OrderKey,
    Work,
    Memory,
    Statement,
    DuplicateField,
    /// The method, or the structure of the message's parameters, is invalid.
    Parameters,
    /// The connection already has the maximum number of open requests.
    TooManyOpen,
    /// The connection no longer accepts requests because of a previous message.
    ConnectionClosing,
}

impl CallError {
    /// Returns the text in the error reply: the wire name of the invalid field, or a phrase for
    /// other errors.
    pub fn wire_word(self) -> &'static str {
        match self {
            CallError::Class => "class",
            CallError::Id => "i",
            CallError::Wait => "d",
            CallError::Tenant => "t",
            CallError::Key => "k",
            CallError::OrderKey => "o",
            CallError::Work => "h",
            CallError::Memory => "ram",
            CallError::Statement => "statement",
            CallError::DuplicateField => "one that is there twice",
            CallError::Parameters => "parameters",
            CallError::TooManyOpen => "one of too many",
            CallError::ConnectionClosing => "one behind it",
        }
    }
}

/// A request as its client sent it.
#[derive(Debug, PartialEq)]
pub struct Call {
    pub id: Box<str>,
    pub class: usize,
    pub tenant: usize,
    /// The idempotency key; `None` if the client sent none.
    pub key: Option<Box<str>>,
    /// The ordering key. In ordered classes, requests with the same ordering key run one after
    /// another.
    pub order_key: Option<Box<str>>,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
    /// How long the client waits for the answer.
    pub wait: Micros,
    /// The client's estimate of the work, in microseconds of thread time summed over all threads;
    /// `None` if it gave none.
    pub work: Option<f64>,
    /// The client's estimate of the memory, in MB; `None` if it gave none.
    pub memory_mb: Option<f64>,
    /// Identifies the tables that the statement reads; `None` if the client names none.
    pub group: Option<u64>,
    pub statement: Box<[u8]>,
    /// Whether the client accepts its result in pages from the result spool.
    pub wants_pages: bool,
}

impl Call {
    /// Returns the class and tenant, for the event log and the result spool.
    pub fn labels(&self) -> RequestLabels {
        RequestLabels {
            class: self.class,
            tenant: self.tenant,
        }
    }

    /// Reads a call. `method` is the name of the class, `body` the statement.
    pub fn read(
        names: &Names,
        method: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Self, CallError> {
        let fields = Fields(fields);
        if fields.has_duplicates() {
            return Err(CallError::DuplicateField);
        }
        let class = index_of(&names.classes, method).ok_or(CallError::Class)?;
        let tenant = fields.tenant(names)?;
        let key = fields.key()?;
        if key.is_none() && names.requires_key[class] {
            return Err(CallError::Key);
        }
        let order_key = fields.order_key()?;
        let wait_ms = fields
            .get("d")
            .and_then(|text| number_up_to(text, names.max_wait / MICROS_PER_MS))
            .ok_or(CallError::Wait)?;
        check_statement(body)?;
        let id = fields.id()?;
        let work_ms = fields.estimate("h", names.max_work / MICROS_PER_MS, CallError::Work)?;
        let memory_mb = fields.estimate("ram", names.max_memory_mb, CallError::Memory)?;
        Ok(Call {
            id: id.into(),
            class,
            tenant,
            key: key.map(Into::into),
            order_key: order_key.map(Into::into),
            is_retry: fields.get("r") == Some("1"),
            wait: (wait_ms * MICROS_PER_MS) as Micros,
            work: work_ms.map(|ms| ms * MICROS_PER_MS),
            memory_mb,
            group: eideryard_sql_tables::table_group(body),
            statement: body.into(),
            wants_pages: fields.get("p") == Some("1"),
        })
    }
}

/// The fields of one message, as pairs of name and value.
struct Fields<'a>(&'a [(&'a str, &'a str)]);

impl<'a> Fields<'a> {
    fn get(&self, wanted: &str) -> Option<&'a str> {
        let found = self.0.iter().find(|(name, _)| *name == wanted);
        found.map(|(_, value)| *value)
    }

    /// Returns whether the message contains one of [`FIELD_NAMES`] more than once.
    fn has_duplicates(&self) -> bool {
        FIELD_NAMES.iter().any(|wanted| {
            let count = self.0.iter().filter(|(name, _)| name == wanted).count();
            count > 1
        })
    }

    /// Returns the index of the tenant in the settings; 0 for all requests if the settings contain
    /// no tenants.
    fn tenant(&self, names: &Names) -> Result<usize, CallError> {
        if names.tenants.is_empty() {
            return Ok(0);
        }
        let name = self.get("t").ok_or(CallError::Tenant)?;
        index_of(&names.tenants, name).ok_or(CallError::Tenant)
    }

    fn id(&self) -> Result<&'a str, CallError> {
        let id = self.get("i").ok_or(CallError::Id)?;
        if is_hex(id, ID_DIGITS) {
            Ok(id)
        } else {
            Err(CallError::Id)
        }
    }

    fn key(&self) -> Result<Option<&'a str>, CallError> {
        match self.get("k") {
            Some(key) if !is_hex(key, KEY_DIGITS) => Err(CallError::Key),
            key => Ok(key),
        }
    }

    /// Returns the ordering key; an empty key counts as none.
    fn order_key(&self) -> Result<Option<&'a str>, CallError> {
        let Some(key) = self.get("o") else {
            return Ok(None);
        };
        let is_printable = key.bytes().all(|byte| byte.is_ascii_graphic());
        if key.len() > MAX_ORDER_KEY_LENGTH || !is_printable {
            return Err(CallError::OrderKey);
        }
        Ok(Some(key).filter(|key| !key.is_empty()))
    }

    /// Returns the value of an estimate, which must be at most `max`; 0 counts as no estimate.
    fn estimate(&self, name: &str, max: f64, error: CallError) -> Result<Option<f64>, CallError> {
        let Some(text) = self.get(name) else {
            return Ok(None);
        };
        let value = number_up_to(text, max).ok_or(error)?;
        Ok(Some(value).filter(|value| *value > 0.0))
    }
}

fn is_hex(text: &str, digits: usize) -> bool {
    text.len() == digits && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

/// Parses a number from 0 to `max`; `None` if it is outside this range or NaN.
fn number_up_to(text: &str, max: f64) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (0.0..=max).contains(&number).then_some(number)
}

/// Checks that a statement is non-empty UTF-8 without zero bytes, as engines require.
fn check_statement(body: &[u8]) -> Result<(), CallError> {
    if body.is_empty() || std::str::from_utf8(body).is_err() || body.contains(&0) {
        return Err(CallError::Statement);
    }
    Ok(())
}
