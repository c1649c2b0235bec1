//! The program `eideryard` and its command line. Exit codes: 0 (success), 1 (failure), 2 (wrong
//! usage).

mod arguments;
mod check;
mod error;
mod fleet;
mod logger;
mod moment;
mod records;
mod store;
mod view;

use arguments::{Arguments, Command, FleetCommand, RecordsCommand, Span, StoreCommand};
use clap::{CommandFactory, Parser};
use eideryard_gateway::config::Config;
use eideryard_operator_config::{LogConfig, OperatorConfig};
use error::CliError;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let result = match arguments.command.unwrap_or(Command::Run) {
        Command::Run => return run(arguments.operator.as_deref()),
        command => execute(command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("eideryard: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Executes a command other than `run`.
fn execute(command: Command) -> Result<(), CliError> {
    match command {
        Command::Run => Ok(()),
        Command::Check { files } => check::check(&files),
        Command::Records { what } => match what {
            RecordsCommand::Verify { directories } => records::verify(&directories),
            RecordsCommand::Tally { json, directories } => records::tally(&directories, json),
            RecordsCommand::Find { id, directories } => records::find(&id, &directories),
            RecordsCommand::Dump { directories } => records::dump(&directories),
        },
        Command::Store { what } => match what {
            StoreCommand::Check { directory } => store::check(&directory),
            StoreCommand::Dump { directory } => store::dump(&directory),
            StoreCommand::Compact { directory } => store::compact(&directory),
        },
        Command::Fleet { what } => match what {
            FleetCommand::Status { directories } => fleet::status(&directories),
            FleetCommand::Owners { directories } => fleet::owners(&directories),
            FleetCommand::Copies { directories } => fleet::copies(&directories),
        },
        Command::Console { directories, at } => {
            let at = view::resolve_moment(&directories, at)?;
            Ok(eideryard_console::run(&directories, at)?)
        }
        Command::Report {
            directories,
            out,
            span,
        } => write_report(&directories, out, span),
        Command::Completions { shell } => {
            let mut command = Arguments::command();
            clap_complete::generate(shell, &mut command, "eideryard", &mut std::io::stdout());
            Ok(())
        }
        Command::Man => {
            let page = clap_mangen::Man::new(Arguments::command());
            Ok(page.render(&mut std::io::stdout())?)
        }
        Command::Reference => {
            print!(
                "{}",
                eideryard_config_syntax::reference(eideryard_operator_config::TABLE)
            );
            Ok(())
        }
    }
}

fn write_report(directories: &[PathBuf], path: PathBuf, span: Span) -> Result<(), CliError> {
    let view = view::fold(directories, span)?;
    let page = eideryard_report::page(&view);
    if let Err(error) = std::fs::write(&path, page) {
        return Err(CliError::Report { path, error });
    }
    println!("{}", eideryard_report::summary::headline(&view));
    Ok(())
}

/// Runs the gateway. Errors are written to its log, in the format that the operator's file sets.
fn run(operator: Option<&str>) -> ExitCode {
    let operator = match operator {
        Some(path) => OperatorConfig::from_file(path),
        None => Ok(OperatorConfig::default()),
    };
    let log = match &operator {
        Ok(operator) => operator.log.clone(),
        Err(_) => LogConfig::default(),
    };
    logger::start(std::env::var("EIDERYARD_LOG").ok().as_deref(), &log);
    match operator
        .map_err(Into::into)
        .and_then(|operator| serve(&operator))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(operator: &OperatorConfig) -> Result<(), Box<dyn Error>> {
    let config = Config::from_environment()?;
    eideryard_gateway::serve(config, operator)
}
