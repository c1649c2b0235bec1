//! Where the gateway's record is tapped: nothing at all without a record, else every event, action
//! and word of the host goes to the recorder, which never waits.

use eideryard::interface::{Action, Event, Micros};
use eideryard_event_log::entry::EntryRef;
use eideryard_event_log::writer::Directory;
use eideryard_event_log::{Config, Host, Names, Recorder};
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
            budget: record.budget,
            segment: record.segment,
            segment_time: record.segment_time,
            pause: eideryard_event_log::recorder::PAUSE,
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
        self.record(now, EntryRef::In(event));
    }

    pub fn action(&mut self, now: Micros, action: &Action) {
        self.record(now, EntryRef::Out(action));
    }

    #[expect(clippy::needless_pass_by_value, reason = "to be passed by reference")]
    pub fn host(&mut self, now: Micros, host: Host) {
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
            .is_some_and(|tap| tap.0.wants_state(now))
    }

    /// Begins a segment with what is known now.
    pub fn state(&mut self, now: Micros, known: impl Iterator<Item = Host>) {
        let Some(tap) = &mut self.recorder else {
            return;
        };
        let (recorder, names) = &mut **tap;
        if recorder.begin(now) {
            recorder.state(now, &Host::Names(names.clone()));
            known.for_each(|host| recorder.state(now, &host));
            recorder.state_whole(now);
        }
    }

    pub fn due(&self) -> Option<Micros> {
        self.recorder.as_ref().and_then(|tap| tap.0.due())
    }

    pub fn flush(&mut self, now: Micros) {
        if let Some(tap) = &mut self.recorder {
            tap.0.flush(now);
        }
    }
}
