//! Opens the store at startup, restores the intent log and the checkpoint from it, and logs the
//! result.

use eideryard::interface::{Class, LearnedState, Micros};
use eideryard_intent_log::{entry, IntentLog, Limits, UncertainWindow};
use eideryard_operator_config::StoreConfig;
use eideryard_store::worker::Worker;
use eideryard_store::{Config, Directory, OpenError, RecoveryReport, RecoveryStatus, Store};

use super::sends::store_batch;
use crate::checkpoint;
use crate::recovered_state::RecoveredState;

/// Parameters of recovery.
pub(super) struct RecoveryContext<'a> {
    pub(super) limits: Limits,
    pub(super) classes: &'a [Class],
    pub(super) settings_fingerprint: u64,
    pub(super) now: Micros,
    /// A random number, which must differ between starts.
    pub(super) seed: u64,
}

/// The result of recovery.
pub(super) struct Recovery {
    pub(super) intent_log: IntentLog,
    /// `None` if the store can't be used.
    pub(super) worker: Option<Worker>,
    /// The last checkpoint and its age in microseconds, if it can be restored.
    pub(super) learned_state: Option<(LearnedState, Micros)>,
    pub(super) recovered_state: Option<RecoveredState>,
}

/// Opens the store and recovers the state in it. If the store can't be opened, intents are held in
/// memory only, and requests that need a durable intent are refused.
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
        context.seed,
    );
    match opened {
        Ok((store, report)) => recover_from_store(store, &report, context, wake),
        Err(error) => start_without_store(config, &error, context),
    }
}

fn recover_from_store(
    mut store: Store,
    report: &RecoveryReport,
    context: &RecoveryContext<'_>,
    wake: Box<dyn Fn() + Send>,
) -> Recovery {
    let mut intent_log = restore_intents(&store, report, context);
    for write in intent_log.take_prolonged() {
        // The worker flushes the writes. Those of a process that is killed before are repeated at
        // the next start.
        store.write(store_batch(&write));
    }
    log_report(report, context.now, intent_log.uncertain_window());
    let learned_state = restore_checkpoint(&store, context);
    let recovered_state = RecoveredState::read(&store, report);
    let worker = Worker::start(store, wake)
        .inspect_err(|e| {
            tracing::error!("store: no writer thread, keyed requests are refused: {e}");
        })
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
        "store {} can't be opened: {error}. Requests of safe classes are served; keyed and unsafe \
         ones are refused until the gateway is restarted with a usable store",
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
                "store: learned estimates of {} engines, {:.1} s old, are restored; their weight \
                 decreases with their age",
                learned.engines.len(),
                age as f64 / 1e6
            );
            Some((learned, age))
        }
        Err(error) => {
            tracing::info!("store: the checkpoint of learned estimates is dropped: {error}");
            None
        }
    }
}

/// Logs the result of opening the store.
fn log_report(report: &RecoveryReport, now: Micros, uncertain: UncertainWindow) {
    tracing::info!(
        "store: incarnation {:016x}, start {}: {}",
        report.identity,
        report.start_number,
        describe_status(report, now)
    );
    if report.torn_bytes > 0 {
        tracing::info!(
            "store: {} bytes of incomplete writes at the end are dropped; none of these writes was \
             reported as durable",
            report.torn_bytes
        );
    }
    if let UncertainWindow::Before(time) = uncertain {
        tracing::info!(
            "store: intents from before {} ms (Unix time) may be missing; until the retry window \
             of their class after that time has passed, retries with unknown keys are not run, \
             unless all engines drop a repeated request",
            time / 1000
        );
    }
}

fn describe_status(report: &RecoveryReport, now: Micros) -> String {
    let keys = report.keys;
    let age = (now / 1000).saturating_sub(report.last_segment_at_ms) as f64 / 1e3;
    match &report.status {
        RecoveryStatus::New => "no data found; starts with a new identity".to_string(),
        RecoveryStatus::Whole => {
            format!("{keys} keys, last segment begun {age:.1} s ago; the data is complete")
        }
        RecoveryStatus::Copy => format!(
            "{keys} keys in a copy of the original directory, last segment begun {age:.1} s ago; \
             later writes may be missing, so it starts with a new identity and uses the data as \
             hints"
        ),
        RecoveryStatus::Damaged { segment, at } => format!(
            "{keys} keys up to byte {at} of {segment}, which is damaged there; later data is \
             dropped, so it starts with a new identity and uses the data as hints"
        ),
    }
}
