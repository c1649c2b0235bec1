//! Small stand-ins for the tests of the review: engines, the bulletin and clients, written from the
//! operators' pages, and the start of real gateways. Only the standard library is used.

pub mod bulletin;
pub mod client;
pub mod engine;
pub mod gateway;
pub mod msgpack;
pub mod record;
pub mod settings;

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Process ids of the gateways that run.
pub static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case that has not ended by then is ended with code 2.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Ends the gateways and this process if the case takes too long.
pub fn start_watchdog() {
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        for id in RUNNING.lock().unwrap().iter() {
            let _ = std::process::Command::new("/bin/sh")
                .args(["-c", &format!("kill -KILL {id}")])
                .status();
        }
        eprintln!("the case took too long");
        std::process::exit(2)
    });
}

/// Whether the disruption of the case is played: it is left out if `TROUBLE` is 0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Sleeps until a moment that is given as an offset from `start`.
pub fn sleep_until(start: Instant, offset: Duration) {
    let target = start + offset;
    let now = Instant::now();
    if target > now {
        std::thread::sleep(target - now);
    }
}

/// Ends the process with the exit code of the case. Does what `main` returns; errors are code 2.
pub fn finish(result: Result<bool, String>, record: &record::Record) -> ! {
    let code = match result {
        Ok(true) => {
            record.line("verdict: the rule held");
            0
        }
        Ok(false) => {
            record.line("verdict: THE RULE WAS BROKEN");
            1
        }
        Err(reason) => {
            record.line(&format!("verdict: the case could not run: {reason}"));
            2
        }
    };
    std::process::exit(code)
}
