//! As much of MessagePack as the clients' protocol needs.

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Uint(u64),
    Text(String),
    Bytes(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

impl Value {
    /// Appends the encoded value.
    pub fn write(&self, out: &mut Vec<u8>) {
        match self {
            Value::Nil => out.push(0xc0),
            Value::Bool(value) => out.push(if *value { 0xc3 } else { 0xc2 }),
            Value::Uint(value) => {
                out.push(0xcf);
                out.extend(value.to_be_bytes());
            }
            Value::Text(text) => {
                out.push(0xdb);
                out.extend((text.len() as u32).to_be_bytes());
                out.extend(text.as_bytes());
            }
            Value::Bytes(bytes) => {
                out.push(0xc6);
                out.extend((bytes.len() as u32).to_be_bytes());
                out.extend(bytes);
            }
            Value::Array(values) => {
                out.push(0xdd);
                out.extend((values.len() as u32).to_be_bytes());
                values.iter().for_each(|value| value.write(out));
            }
            Value::Map(pairs) => {
                out.push(0xdf);
                out.extend((pairs.len() as u32).to_be_bytes());
                for (name, value) in pairs {
                    name.write(out);
                    value.write(out);
                }
            }
        }
    }

    /// Reads the first value. Returns it with its length, or `None` if it is incomplete.
    pub fn read(bytes: &[u8]) -> Option<(Value, usize)> {
        let mut reader = Reader { bytes, at: 0 };
        let value = reader.value()?;
        Some((value, reader.at))
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let taken = self.bytes.get(self.at..self.at + count)?;
        self.at += count;
        Some(taken)
    }

    fn uint(&mut self, width: usize) -> Option<u64> {
        Some(
            self.take(width)?
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
        )
    }

    fn text(&mut self, count: usize) -> Option<Value> {
        Some(Value::Text(
            String::from_utf8_lossy(self.take(count)?).into_owned(),
        ))
    }

    fn array(&mut self, count: usize) -> Option<Value> {
        (0..count)
            .map(|_| self.value())
            .collect::<Option<Vec<_>>>()
            .map(Value::Array)
    }

    fn map(&mut self, count: usize) -> Option<Value> {
        (0..count)
            .map(|_| Some((self.value()?, self.value()?)))
            .collect::<Option<Vec<_>>>()
            .map(Value::Map)
    }

    fn value(&mut self) -> Option<Value> {
        let head = self.take(1)?[0];
        Some(match head {
            0x00..=0x7f => Value::Uint(u64::from(head)),
            0x80..=0x8f => self.map((head & 15) as usize)?,
            0x90..=0x9f => self.array((head & 15) as usize)?,
            0xa0..=0xbf => self.text((head & 31) as usize)?,
            0xc0 => Value::Nil,
            0xc2 => Value::Bool(false),
            0xc3 => Value::Bool(true),
            0xc4..=0xc6 => {
                let count = self.uint(1 << (head - 0xc4))? as usize;
                Value::Bytes(self.take(count)?.to_vec())
            }
            0xcc..=0xcf => Value::Uint(self.uint(1 << (head - 0xcc))?),
            0xd9..=0xdb => {
                let count = self.uint(1 << (head - 0xd9))? as usize;
                self.text(count)?
            }
            0xdc => {
                let count = self.uint(2)? as usize;
                self.array(count)?
            }
            0xdd => {
                let count = self.uint(4)? as usize;
                self.array(count)?
            }
            0xde => {
                let count = self.uint(2)? as usize;
                self.map(count)?
            }
            0xdf => {
                let count = self.uint(4)? as usize;
                self.map(count)?
            }
            other => panic!("a gateway sent a value of type {other:#x}"),
        })
    }
}
