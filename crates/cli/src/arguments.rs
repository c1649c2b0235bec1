//! What the command line takes.

use crate::moment::{self, Moment};
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// Help of `console --at`.
const CONSOLE_AT_HELP: &str =
    "Begin paused at this time: HH:MM[:SS] on the records' last day, or a Unix time in seconds; UTC";
/// Help of `report --from`.
const SPAN_FROM_HELP: &str =
    "Leave out what came before: HH:MM[:SS] on the records' last day, or a Unix time in seconds; UTC";

/// A workload manager in front of analytic engines.
///
/// Without a command it runs the gateway, with the configuration that EDGE_CONFIG names.
#[derive(Parser)]
#[command(
    name = "eideryard",
    version,
    about,
    long_about,
    after_help = "\
Exit codes: 0, 1 (it failed), 2 (wrong use)."
)]
pub struct Arguments {
    /// The operator's file: settings beside the platform's, one directive a line
    #[arg(long, env = "EIDERYARD_OPERATOR", value_name = "FILE", global = true)]
    pub operator: Option<String>,
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run the gateway (also without any command)
    Run,
    /// Check configurations (JSON) and operator's files; say file, line, column and what was
    /// expected
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Look into records of gateways
    Records {
        #[command(subcommand)]
        what: RecordsCommand,
    },
    /// Look into a gateway's store, while no gateway has it
    Store {
        #[command(subcommand)]
        what: StoreCommand,
    },
    /// How the gateways of a fleet stand to each other, by what their store directories say
    Fleet {
        #[command(subcommand)]
        what: FleetCommand,
    },
    /// Watch gateways through their records, live or at any time that they hold
    Console {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
        #[arg(long, value_name = "TIME", value_parser = moment::parse, help = CONSOLE_AT_HELP)]
        at: Option<Moment>,
    },
    /// Make one HTML page of an incident from gateways' records
    Report {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
        /// Where the page goes
        #[arg(long, value_name = "FILE.html")]
        out: PathBuf,
        #[command(flatten)]
        span: Span,
    },
    /// Print completions for a shell
    Completions { shell: clap_complete::Shell },
    /// Print the manual page
    Man,
    /// Print the reference of the operator's file, as Markdown
    Reference,
}

/// A part of the records, by time.
#[derive(Args, Clone, Copy, Default)]
pub struct Span {
    /// The beginning of the part.
    #[arg(long, value_name = "TIME", value_parser = moment::parse, help = SPAN_FROM_HELP)]
    pub from: Option<Moment>,
    /// Leave out what came after
    #[arg(long, value_name = "TIME", value_parser = moment::parse)]
    pub to: Option<Moment>,
}

#[derive(Subcommand)]
pub enum FleetCommand {
    /// One line a gateway: whether it votes, reaches a majority, and what of its peers is wrong
    Status {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Which gateway does which work for all, since which term, and what fences turned away
    Owners {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Which copies differ between keepers, and what each lacks; changes nothing
    Copies {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
}

#[derive(Subcommand)]
pub enum StoreCommand {
    /// Read all of it and say what it holds, and what of it a gateway would trust; change nothing
    Check {
        #[arg(value_name = "DIR")]
        directory: PathBuf,
    },
    /// Print every key, one a line; change nothing
    Dump {
        #[arg(value_name = "DIR")]
        directory: PathBuf,
    },
    /// Rewrite it as one snapshot, without what has expired
    Compact {
        #[arg(value_name = "DIR")]
        directory: PathBuf,
    },
}

#[derive(Subcommand)]
pub enum RecordsCommand {
    /// Read all of it, say what is damaged or missing, and hold what was counted against the
    /// gateways' own counters
    Verify {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Print what each start of each gateway counted
    Tally {
        /// One JSON object for each start, named as in the counters
        #[arg(long)]
        json: bool,
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Print the life of the requests with this id (16 hex digits)
    Find {
        #[arg(value_name = "ID")]
        id: String,
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
    /// Print every entry, one a line
    Dump {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
}
