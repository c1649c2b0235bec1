//! Commands and options of the command line.

use crate::moment::{self, Moment};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

const CONSOLE_AT_HELP: &str =
    "Start paused at this time: HH:MM[:SS] on the last day of the event logs, or a Unix time in seconds; UTC";
const SPAN_FROM_HELP: &str =
    "Leave out entries before this time: HH:MM[:SS] on the last day of the event logs, or a Unix time in seconds; UTC";

/// A workload manager in front of analytic engines.
///
/// Without a command, it runs the gateway with the configuration file that EDGE_CONFIG names.
#[derive(Parser)]
#[command(
    name = "eideryard",
    version,
    about,
    long_about,
    after_help = "\
Exit codes: 0 (success), 1 (failure), 2 (wrong usage)."
)]
pub struct Arguments {
    /// The operator's file: settings in addition to the platform's, one directive per line
    #[arg(long, env = "EIDERYARD_OPERATOR", value_name = "FILE", global = true)]
    pub operator: Option<String>,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run the gateway (the default without a command)
    Run,
    /// Check configurations (JSON) and operator's files; report file, line, column and what was
    /// expected
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Inspect the event logs of gateways
    Records {
        #[command(subcommand)]
        what: RecordsCommand,
    },
    /// Inspect or compact the store of a gateway that is not running
    Store {
        #[command(subcommand)]
        what: StoreCommand,
    },
    /// Show the state of a fleet's gateways, leases and copies, from their store directories
    Fleet {
        #[command(subcommand)]
        what: FleetCommand,
    },
    /// Watch gateways through their event logs, live or at any recorded time
    Console {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
        #[arg(long, value_name = "TIME", value_parser = moment::parse, help = CONSOLE_AT_HELP)]
        at: Option<Moment>,
    },
    /// Write an HTML page about an incident from the event logs of gateways
    Report {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
        /// Path of the page
        #[arg(long, value_name = "FILE.html")]
        out: PathBuf,
        #[command(flatten)]
        span: Span,
    },
    /// Print command completions for a shell
    Completions { shell: clap_complete::Shell },
    /// Print the manual page
    Man,
    /// Print the reference of the operator's file as Markdown
    Reference,
}

/// A span of time of the event logs.
#[derive(Args, Clone, Copy, Default)]
pub struct Span {
    /// Start of the span; if absent, the first entry.
    #[arg(long, value_name = "TIME", value_parser = moment::parse, help = SPAN_FROM_HELP)]
    pub from: Option<Moment>,
    /// Leave out entries after this time, given in the same format as --from
    #[arg(long, value_name = "TIME", value_parser = moment::parse)]
    pub to: Option<Moment>,
}

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Print one line per gateway: whether it votes and reaches a majority, and its faulty peers
    Status {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Print which gateway owns each shared task, since which term, and what fences rejected
    Owners {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Print which copies differ between keepers and what each keeper lacks; change nothing
    Copies {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
}

#[derive(Subcommand)]
pub enum StoreCommand {
    /// Read the whole store and report what it contains and what is damaged; change nothing
    Check {
        #[arg(value_name = "DIR")]
        directory: PathBuf,
    },
    /// Print every key, one per line; change nothing
    Dump {
        #[arg(value_name = "DIR")]
        directory: PathBuf,
    },
    /// Rewrite the store as one snapshot, without expired keys
    Compact {
        #[arg(value_name = "DIR")]
        directory: PathBuf,
    },
}

#[derive(Subcommand)]
pub enum RecordsCommand {
    /// Read all entries, report what is damaged or missing, and compare the totals with the
    /// gateways' own counters
    Verify {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Print the totals of each start of each gateway
    Tally {
        /// Print one JSON object per start, with the names of the counters as keys
        #[arg(long)]
        json: bool,
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Print all entries about the requests with this id (16 hex digits)
    Find {
        #[arg(value_name = "ID")]
        id: String,
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Print every entry, one per line
    Dump {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
}
