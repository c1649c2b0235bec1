//! Reads a request from the fields of a client's message. The names of the fields are those of the
//! wire; nothing else in the gateway knows them.

use eideryard::interface::Micros;

use super::names::{index_of, Names};
use super::RequestLabels;

/// Hex digits of a request's id.
const ID_DIGITS: usize = 16;
/// Hex digits of an idempotency key.
const KEY_DIGITS: usize = 32;
/// Bytes of the longest ordering key.
const MAX_ORDER_KEY_LENGTH: usize = 64;
const MICROS_PER_MS: f64 = 1e3;
/// All fields that a request may have.
const FIELD_NAMES: [&str; 9] = ["i", "d", "t", "r", "k", "o", "h", "ram", "p"];

/// Why a call is invalid.
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
    Parameters,
    TooManyOpen,
    /// It follows a message after which its connection accepts no more.
    ConnectionClosing,
}

impl CallError {
    /// What the client is told: the name of the field that is invalid.
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
    /// The idempotency key.
    pub key: Option<Box<str>>,
    /// Requests of one ordering key run one after another, in classes with an order.
    pub order_key: Option<Box<str>>,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// How long the client waits for the answer.
    pub wait: Micros,
    /// The client's estimate of the work, in microseconds.
    pub work: Option<f64>,
    /// The client's estimate of the memory.
    pub memory_mb: Option<f64>,
    /// Identifies the tables that the statement reads.
    pub group: Option<u64>,
    pub statement: Box<[u8]>,
    /// The client takes its result by pages, where results are spooled.
    pub wants_pages: bool,
}

impl Call {
    /// Its class and tenant.
    pub fn labels(&self) -> RequestLabels {
        RequestLabels {
            class: self.class,
            tenant: self.tenant,
        }
    }

    /// Reads a call of a class (`method`) from its fields and the statement in its body.
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

/// The fields of one message, each a name and its text.
struct Fields<'a>(&'a [(&'a str, &'a str)]);

impl<'a> Fields<'a> {
    fn get(&self, wanted: &str) -> Option<&'a str> {
        let found = self.0.iter().find(|(name, _)| *name == wanted);
        found.map(|(_, value)| *value)
    }

    /// Whether a field that is known here is there more than once.
    fn has_duplicates(&self) -> bool {
        FIELD_NAMES.iter().any(|wanted| {
            let count = self.0.iter().filter(|(name, _)| name == wanted).count();
            count > 1
        })
    }

    /// Where the settings know no tenants, all requests are of tenant 0.
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

    /// An empty ordering key stands for none.
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

    /// An estimate of 0 stands for none.
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

/// A number that is not negative and at most `max`; NaN is none.
fn number_up_to(text: &str, max: f64) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (0.0..=max).contains(&number).then_some(number)
}

/// Engines accept non-empty UTF-8 without zero bytes.
fn check_statement(body: &[u8]) -> Result<(), CallError> {
    if body.is_empty() || std::str::from_utf8(body).is_err() || body.contains(&0) {
        return Err(CallError::Statement);
    }
    Ok(())
}
