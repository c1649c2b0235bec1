//! Hosts any number of independent gateways that the operators' simulator drives by a text protocol
//! on standard input and output. [`mod@line`] parses lines, [`events`] and [`actions`] translate
//! them, [`host`] runs the balancers. All decisions are the balancers'.

mod actions;
mod error;
mod events;
mod host;
mod line;
mod lists;

use std::io::{self, BufRead, BufReader, Write};
use std::process::ExitCode;

use error::AdapterError;
use host::Host;

/// Size of the buffer for standard input.
const INPUT_BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("eideryard-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers every batch on standard input until the input ends.
fn serve() -> Result<(), AdapterError> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        let length = input
            .read_until(b'\n', &mut line)
            .map_err(AdapterError::Read)?;
        if length == 0 {
            return host.end_input();
        }
        let text = std::str::from_utf8(&line).map_err(|_| AdapterError::InvalidUtf8)?;
        if let Some(reply) = host.handle_line(text.trim_end_matches(['\n', '\r']))? {
            output
                .write_all(reply.as_bytes())
                .map_err(AdapterError::Write)?;
            output.flush().map_err(AdapterError::Write)?;
        }
    }
}
