//! Passes the balancer's events and actions and the gateway's own events to the recorder of the
//! event log, which never blocks the main loop. Without an event log it does nothing.

use eideryard::interface::{Action, Event, Micros};
use eideryard_event_log::disk::Directory;
use eideryard_event_log::entry::EntryRef;
use eideryard_event_log::recorder::RETRY_DELAY;
use eideryard_event_log::{Config, HostEvent, Names, Recorder};
use eideryard_operator_config::EventLogConfig;

/// The recorder, and the names that are written at the start of each segment.
struct ActiveRecorder {
    recorder: Recorder,
    names: Names,
}

/// The gateway's interface to the event log.
#[derive(Default)]
pub struct EventRecorder {
    active: Option<Box<ActiveRecorder>>,
}

impl EventRecorder {
    /// Starts the recorder if the operator has configured an event log. If that fails, an error is
    /// logged and the gateway runs without an event log.
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
                tracing::error!("the event log could not be started, continuing without it: {e}");
                EventRecorder::default()
            }
        }
    }

    /// Returns whether an event log is written; false if none is configured or it could not be
    /// started.
    pub fn is_enabled(&self) -> bool {
        self.active.is_some()
    }

    /// Records an event that the balancer is about to handle.
    pub fn record_event(&mut self, now: Micros, event: &Event) {
        self.record(now, EntryRef::Event(event));
    }

    /// Records an action that the balancer has requested.
    pub fn record_action(&mut self, now: Micros, action: &Action) {
        self.record(now, EntryRef::Action(action));
    }

    /// Records an event of the gateway process itself, such as a connection or a reload.
    pub fn record_host_event(&mut self, now: Micros, event: &HostEvent) {
        self.record(now, EntryRef::Host(event));
    }

    fn record(&mut self, now: Micros, entry: EntryRef<'_>) {
        if let Some(active) = &mut self.active {
            active.recorder.record(now, entry);
        }
    }

    /// Returns whether it is time for [`EventRecorder::start_segment`].
    pub fn needs_segment(&self, now: Micros) -> bool {
        match &self.active {
            Some(active) => active.recorder.needs_segment(now),
            None => false,
        }
    }

    /// Starts a segment with the names and the current state, so that the segment can be read
    /// without previous ones.
    pub fn start_segment(&mut self, now: Micros, state: impl Iterator<Item = HostEvent>) {
        let Some(active) = &mut self.active else {
            return;
        };
        let ActiveRecorder { recorder, names } = active.as_mut();
        if !recorder.start_segment(now) {
            return;
        }
        recorder.record_state(now, &HostEvent::Names(names.clone()));
        for event in state {
            recorder.record_state(now, &event);
        }
        recorder.finish_state(now);
    }

    /// Returns the latest time at which [`EventRecorder::flush`] must be called; `None` if there is
    /// nothing to flush.
    pub fn next_deadline(&self) -> Option<Micros> {
        let active = self.active.as_ref()?;
        active.recorder.next_flush_at()
    }

    /// Passes recorded entries to the writer thread if the time to do so has come at `now`.
    pub fn flush(&mut self, now: Micros) {
        if let Some(active) = &mut self.active {
            active.recorder.flush(now);
        }
    }
}
