//! Hands events, actions and entries of the host to the event log's recorder, which never blocks
//! the main loop. Without an event log it does nothing.

use eideryard::interface::{Action, Event, Micros};
use eideryard_event_log::disk::Directory;
use eideryard_event_log::entry::EntryRef;
use eideryard_event_log::recorder::RETRY_DELAY;
use eideryard_event_log::{Config, HostEvent, Names, Recorder};
use eideryard_operator_config::EventLogConfig;

/// The recorder, with the names that begin each segment.
struct ActiveRecorder {
    recorder: Recorder,
    names: Names,
}

/// The gateway's end of the event log.
#[derive(Default)]
pub struct EventRecorder {
    active: Option<Box<ActiveRecorder>>,
}

impl EventRecorder {
    /// Starts the recorder. An event log that can't be started is reported, and the gateway goes on
    /// without it.
    pub fn start(
        name: &str,
        epoch: Micros,
        names: Names,
        event_log: Option<&EventLogConfig>,
    ) -> Self {
        let Some(event_log) = event_log else {
            return EventRecorder::default();
        };
        let config = Config {
            name: name.to_string(),
            epoch,
            max_total_bytes: event_log.budget,
            max_segment_bytes: event_log.segment,
            max_segment_age: event_log.segment_time,
            retry_delay: RETRY_DELAY,
            class_count: names.classes.len(),
            tenant_count: names.tenants.len(),
        };
        let directory = Directory(event_log.directory.clone());
        match Recorder::start(config, Box::new(directory)) {
            Ok(recorder) => EventRecorder {
                active: Some(Box::new(ActiveRecorder { recorder, names })),
            },
            Err(e) => {
                tracing::error!("no event log is kept: {e}");
                EventRecorder::default()
            }
        }
    }

    /// Whether an event log is written.
    pub fn is_enabled(&self) -> bool {
        self.active.is_some()
    }

    /// Records an event for the balancer.
    pub fn record_event(&mut self, now: Micros, event: &Event) {
        self.record(now, EntryRef::Event(event));
    }

    /// Records an action of the balancer.
    pub fn record_action(&mut self, now: Micros, action: &Action) {
        self.record(now, EntryRef::Action(action));
    }

    /// Records what the gateway itself did or received.
    pub fn record_host(&mut self, now: Micros, host: &HostEvent) {
        self.record(now, EntryRef::Host(host));
    }

    fn record(&mut self, now: Micros, entry: EntryRef<'_>) {
        if let Some(active) = &mut self.active {
            active.recorder.record(now, entry);
        }
    }

    /// Whether a segment should begin, with the current state.
    pub fn needs_state(&self, now: Micros) -> bool {
        match &self.active {
            Some(active) => active.recorder.needs_segment(now),
            None => false,
        }
    }

    /// Begins a segment with the current state.
    pub fn record_state(&mut self, now: Micros, state: impl Iterator<Item = HostEvent>) {
        let Some(active) = &mut self.active else {
            return;
        };
        let ActiveRecorder { recorder, names } = active.as_mut();
        if !recorder.start_segment(now) {
            return;
        }
        recorder.record_state(now, &HostEvent::Names(names.clone()));
        for host in state {
            recorder.record_state(now, &host);
        }
        recorder.finish_state(now);
    }

    /// When [`EventRecorder::flush`] has something to do, if nothing else happens.
    pub fn next_deadline(&self) -> Option<Micros> {
        let active = self.active.as_ref()?;
        active.recorder.next_flush_at()
    }

    /// Hands recorded entries to the writer's thread.
    pub fn flush(&mut self, now: Micros) {
        if let Some(active) = &mut self.active {
            active.recorder.flush(now);
        }
    }
}
