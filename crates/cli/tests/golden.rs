//! Compares the output of the commands for golden data, help and unusable files with that of an
//! earlier version: scripts and older data depend on it.

use std::process::Command;

use eideryard_emulators::golden;

/// Runs the program in the directory of golden data. Returns its standard output, standard error
/// and exit code as one text.
fn run(arguments: &[&str]) -> Vec<u8> {
    let output = Command::new(env!("CARGO_BIN_EXE_eideryard"))
        .args(arguments)
        .current_dir(golden::path(""))
        .env_remove("EDGE_CONFIG")
        .env_remove("EIDERYARD_OPERATOR")
        .output()
        .expect("the program runs");
    let mut text = output.stdout;
    text.extend_from_slice(b"--\n");
    text.extend_from_slice(&output.stderr);
    text.extend_from_slice(format!("--\nexit {:?}\n", output.status.code()).as_bytes());
    text
}

#[test]
fn event_logs_are_printed_as_in_the_golden_files() {
    golden::check("records-dump.txt", &run(&["records", "dump", "event-log"]));
    golden::check(
        "records-tally.txt",
        &run(&["records", "tally", "--json", "event-log"]),
    );
    golden::check(
        "records-verify.txt",
        &run(&["records", "verify", "event-log"]),
    );
}

#[test]
fn a_store_is_printed_as_in_the_golden_file() {
    golden::check("store-dump.txt", &run(&["store", "dump", "store"]));
}

#[test]
fn unusable_files_are_reported_as_in_the_golden_file() {
    let names = std::fs::read_dir(golden::path("check")).expect("golden files");
    let mut names: Vec<String> = names
        .map(|file| {
            file.expect("a file")
                .file_name()
                .into_string()
                .expect("a name")
        })
        .map(|name| format!("check/{name}"))
        .collect();
    names.sort();
    assert!(names.len() >= 10);
    let arguments: Vec<&str> = ["check"]
        .into_iter()
        .chain(names.iter().map(String::as_str))
        .collect();
    golden::check("check.txt", &run(&arguments));
}

#[test]
fn help_and_reference_are_printed_as_in_the_golden_files() {
    golden::check("reference.txt", &run(&["reference"]));
    let commands: [&[&str]; 7] = [
        &["--help"],
        &["check", "--help"],
        &["records", "--help"],
        &["store", "--help"],
        &["fleet", "--help"],
        &["console", "--help"],
        &["report", "--help"],
    ];
    let text: Vec<u8> = commands
        .iter()
        .flat_map(|arguments| run(arguments))
        .collect();
    // The positions of line breaks depend on the features of clap that the build enables.
    let text = String::from_utf8(text).expect("text");
    let words: Vec<&str> = text.split_whitespace().collect();
    golden::check("help.txt", words.join(" ").as_bytes());
}
