//! Opens the store at the start: restores the intent log and the checkpoint, and logs what was
//! found.

use eideryard::interface::{Class, LearnedState, Micros};
use eideryard_intent_log::{entry, IntentLog, Limits, UncertainWindow};
use eideryard_operator_config::StoreConfig;
use eideryard_store::worker::Worker;
use eideryard_store::{Config, Directory, OpenError, RecoveryReport, RecoveryStatus, Store};

use crate::checkpoint;
use crate::recovered_state::RecoveredState;

/// Under what the store is opened.
pub(super) struct RecoveryContext<'a> {
    pub(super) limits: Limits,
    pub(super) classes: &'a [Class],
    pub(super) settings_fingerprint: u64,
    pub(super) now: Micros,
    /// Differs between starts.
    pub(super) random: u64,
}

/// What a start has recovered.
pub(super) struct Recovery {
    pub(super) intent_log: IntentLog,
    /// Nothing if the store can't be used.
    pub(super) worker: Option<Worker>,
    /// The last checkpoint and its age.
    pub(super) learned_state: Option<(LearnedState, Micros)>,
    pub(super) recovered_state: Option<RecoveredState>,
}

/// Opens the store. If that fails, intents are kept in memory only, and requests that need a
/// durable one are refused.
pub(super) fn recover(
    config: &StoreConfig,
    context: &RecoveryContext<'_>,
    wake: Box<dyn Fn() + Send>,
) -> Recovery {
    let opened = Store::open(
        Box::new(Directory::new(&config.directory)),
        Config {
            budget: config.budget,
        },
        context.now / 1000,
        context.random,
    );
    match opened {
        Ok((store, report)) => recover_from(store, &report, context, wake),
        Err(error) => start_without_store(config, &error, context),
    }
}

fn recover_from(
    store: Store,
    report: &RecoveryReport,
    context: &RecoveryContext<'_>,
    wake: Box<dyn Fn() + Send>,
) -> Recovery {
    let intent_log = restore_intents(&store, report, context);
    log_report(report, context.now, intent_log.uncertain_window());
    let learned_state = restore_checkpoint(&store, context);
    let recovered_state = RecoveredState::read(&store, report);
    let worker = Worker::start(store, wake)
        .inspect_err(|e| tracing::error!("store: {e}; keyed requests are refused"))
        .ok();
    Recovery {
        intent_log,
        worker,
        learned_state,
        recovered_state: Some(recovered_state),
    }
}

fn start_without_store(
    config: &StoreConfig,
    error: &OpenError,
    context: &RecoveryContext<'_>,
) -> Recovery {
    tracing::error!(
        "store {}: {error}. Safe classes are served; keyed and unsafe requests are refused until the \
         gateway starts with a store that can be used",
        config.directory.display()
    );
    let intent_log = IntentLog::restore(
        context.limits,
        context.classes.to_vec(),
        std::iter::empty(),
        context.now,
        context.now,
    );
    Recovery {
        intent_log,
        worker: None,
        learned_state: None,
        recovered_state: None,
    }
}

fn restore_intents(
    store: &Store,
    report: &RecoveryReport,
    context: &RecoveryContext<'_>,
) -> IntentLog {
    let mut intents = Vec::new();
    for (key, value) in store.prefix(entry::prefix()) {
        if let Some(intent) = entry::from_bytes(&value.bytes) {
            intents.push((key.to_vec(), intent));
        }
    }
    IntentLog::restore(
        context.limits,
        context.classes.to_vec(),
        intents.into_iter(),
        report.complete_since_ms * 1000,
        context.now,
    )
}

fn restore_checkpoint(
    store: &Store,
    context: &RecoveryContext<'_>,
) -> Option<(LearnedState, Micros)> {
    let stored = store.get(checkpoint::STORE_KEY)?;
    match checkpoint::from_bytes(&stored.bytes, context.now, context.settings_fingerprint) {
        Ok((learned, age)) => {
            tracing::info!(
                "store: learned figures of {} engines, {:.1} s old: hints, doubted by their age",
                learned.engines.len(),
                age as f64 / 1e6
            );
            Some((learned, age))
        }
        Err(error) => {
            tracing::info!("store: learned figures are dropped: {error}");
            None
        }
    }
}

/// Logs what the start found.
fn log_report(report: &RecoveryReport, now: Micros, uncertain: UncertainWindow) {
    tracing::info!(
        "store: life {:016x}, start {}: {}",
        report.identity,
        report.start_number,
        describe_status(report, now)
    );
    if report.torn_bytes > 0 {
        tracing::info!(
            "store: {} bytes at the end were never whole; nobody was told of them",
            report.torn_bytes
        );
    }
    if let UncertainWindow::Before(time) = uncertain {
        tracing::info!(
            "store: retries of keys that it doesn't know are not run until their class's window after \
             {} ms has passed (Unix time), except where all engines drop a repeat",
            time / 1000
        );
    }
}

fn describe_status(report: &RecoveryReport, now: Micros) -> String {
    let keys = report.keys;
    let age = (now / 1000).saturating_sub(report.last_segment_at_ms) as f64 / 1e3;
    match &report.status {
        RecoveryStatus::New => "nothing was there: it begins as a stranger".to_string(),
        RecoveryStatus::Whole => {
            format!("{keys} keys, last begun {age:.1} s ago, whole: all of it is trusted")
        }
        RecoveryStatus::Copy => format!(
            "{keys} keys in a copy of the directory that was written, last begun {age:.1} s ago: what \
             came behind it is not known here, so it begins as a stranger with hints"
        ),
        RecoveryStatus::Damaged { segment, at } => format!(
            "{keys} keys up to byte {at} of {segment}, which is damaged: what lies behind is dropped, \
             so it begins as a stranger with hints"
        ),
    }
}
