//! Where the gateway's record is tapped: nothing at all without a record, else every event, action
//! and word of the host goes to the recorder, which never waits.

use eideryard::interface::{Action, Event, Micros};
use eideryard_event_log::disk::Directory;
use eideryard_event_log::entry::EntryRef;
use eideryard_event_log::{Config, HostEvent, Names, Recorder};
use eideryard_operator_config::EventLogConfig;

#[derive(Default)]
pub struct EventRecorder {
    recorder: Option<Box<(Recorder, Names)>>,
}

impl EventRecorder {
    /// A record that can't be started is said and done without.
    pub fn start(name: &str, epoch: Micros, names: Names, record: Option<&EventLogConfig>) -> Self {
        let Some(record) = record else {
            return EventRecorder::default();
        };
        let plan = Config {
            name: name.to_string(),
            epoch,
            max_total_bytes: record.budget,
            max_segment_bytes: record.segment,
            max_segment_age: record.segment_time,
            retry_delay: eideryard_event_log::recorder::RETRY_DELAY,
            classes: names.classes.len(),
            tenants: names.tenants.len(),
        };
        match Recorder::start(plan, Box::new(Directory(record.directory.clone()))) {
            Ok(recorder) => EventRecorder {
                recorder: Some(Box::new((recorder, names))),
            },
            Err(e) => {
                tracing::error!("no record is kept: {e}");
                EventRecorder::default()
            }
        }
    }

    pub fn is_on(&self) -> bool {
        self.recorder.is_some()
    }

    pub fn event(&mut self, now: Micros, event: &Event) {
        self.record(now, EntryRef::Event(event));
    }

    pub fn action(&mut self, now: Micros, action: &Action) {
        self.record(now, EntryRef::Action(action));
    }

    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    pub fn host(&mut self, now: Micros, host: HostEvent) {
        self.record(now, EntryRef::Host(&host));
    }

    fn record(&mut self, now: Micros, entry: EntryRef<'_>) {
        if let Some(tap) = &mut self.recorder {
            tap.0.record(now, entry);
        }
    }

    /// Whether a segment should begin, with what is known.
    pub fn wants_state(&self, now: Micros) -> bool {
        self.recorder
            .as_ref()
            .is_some_and(|tap| tap.0.needs_segment(now))
    }

    /// Begins a segment with what is known now.
    pub fn state(&mut self, now: Micros, known: impl Iterator<Item = HostEvent>) {
        let Some(tap) = &mut self.recorder else {
            return;
        };
        let (recorder, names) = &mut **tap;
        if recorder.start_segment(now) {
            recorder.record_state(now, &HostEvent::Names(names.clone()));
            known.for_each(|host| recorder.record_state(now, &host));
            recorder.finish_state(now);
        }
    }

    pub fn due(&self) -> Option<Micros> {
        self.recorder.as_ref().and_then(|tap| tap.0.next_flush_at())
    }

    pub fn flush(&mut self, now: Micros) {
        if let Some(tap) = &mut self.recorder {
            tap.0.flush(now);
        }
    }
}
