//! Any text: read or refused. From this folder's parent: `cargo fuzz run operator`.
#![no_main]

use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &str| {
    // Files that it would include are out of reach here.
    if !text.contains("include") {
        let _ = eideryard_operator_config::OperatorConfig::read("fuzz", text);
    }
});
