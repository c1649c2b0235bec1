//! Hosts any number of independent gateways on the bench's text protocol: parse, translate, drive,
//! write.

mod wire;

use std::io::{self, BufRead, BufReader, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("eideryard-simulator-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = wire::Host::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        let read = input
            .read_until(b'\n', &mut line)
            .map_err(|e| format!("reading standard input: {e}"))?;
        if read == 0 {
            return host.at_rest();
        }
        let text =
            std::str::from_utf8(&line).map_err(|_| "a line is not UTF-8 text".to_string())?;
        if let Some(reply) = host.take_line(text.trim_end_matches(['\n', '\r']))? {
            output
                .write_all(reply.as_bytes())
                .map_err(|e| format!("writing standard output: {e}"))?;
            output
                .flush()
                .map_err(|e| format!("writing standard output: {e}"))?;
        }
    }
}
