//! What the command line takes.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

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
    /// Check configurations (JSON) and operator's files; say file, line, column and what was expected
    Check {
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Look into records of gateways
    Records {
        #[command(subcommand)]
        what: RecordsCommand,
    },
    /// Print completions for a shell
    Completions { shell: clap_complete::Shell },
    /// Print the manual page
    Man,
    /// Print the reference of the operator's file, as Markdown
    Reference,
}

#[derive(Subcommand)]
pub enum RecordsCommand {
    /// Read all of it, say what is damaged or missing, and hold what was counted against the gateways' own
    /// counters
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
    /// Print every entry, one a line
    Dump {
        #[arg(required = true, value_name = "DIR")]
        directories: Vec<PathBuf>,
    },
}
