//! The tests of the review's cases: `review-case-2 NAME FOLDER`. Exit code 0: the rule held, 1: it
//! was broken, 2: the case couldn't run. With `TROUBLE=0` there is no disruption.

mod client;
mod config;
mod engine;
mod gateway;
mod order;
mod reconfigured;
mod record;
mod refused;
mod rewrite;
mod spoilt;

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// What a case is run with.
pub struct Run {
    pub root: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
}

/// Whether the rule held, or what broke it.
pub enum Verdict {
    Held,
    Broken(String),
}

type Outcome = Result<Verdict, Box<dyn Error>>;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case-2 NAME FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let record = match Record::create(&folder) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("no record: {e}");
            return ExitCode::from(2);
        }
    };
    let run = Run {
        root: gateway::root_of(&folder),
        record: record.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    // A test that hangs can't say anything.
    std::thread::spawn({
        let record = record.clone();
        move || {
            std::thread::sleep(std::time::Duration::from_secs(110));
            record.line("not finished within 110 s");
            gateway::clean_up();
            std::process::exit(2);
        }
    });
    let outcome: Outcome = match name.as_str() {
        "spoilt" => spoilt::run(&run),
        "order" => order::run(&run),
        "refused" => refused::run(&run),
        "reconfigured" => reconfigured::run(&run),
        "rewrite" => rewrite::run(&run),
        other => Err(format!("no case '{other}'").into()),
    };
    let (text, code) = match outcome {
        Ok(Verdict::Held) => ("the rule held".to_string(), 0),
        Ok(Verdict::Broken(how)) => (format!("the rule was broken: {how}"), 1),
        Err(e) => (format!("the case couldn't run: {e}"), 2),
    };
    record.line(&text);
    ExitCode::from(code)
}
