//! Encodes the state at the start of a segment, the end of a log and gaps in it.

use eideryard::interface::Micros;

use super::primitives::{Decoder, Encoder};
use super::{kind, Decoded, MAX_ITEMS};
use crate::entry::{HostEvent, ListedEngine, Names, OpenRequest, RunningAttempt};
use crate::totals::Tally;

impl Encoder<'_> {
    pub(super) fn put_segment_started(&mut self, name: &str, epoch: Micros, segment: u64) -> u8 {
        self.put_text(name);
        self.put_varint(epoch);
        self.put_varint(segment);
        kind::SEGMENT_STARTED
    }

    pub(super) fn put_names(&mut self, names: &Names) -> u8 {
        self.put_texts(&names.classes);
        self.put_texts(&names.tenants);
        self.put_texts(&names.zones);
        self.put_texts(&names.kinds);
        self.put_floats(&names.threads);
        kind::NAMES
    }

    pub(super) fn put_listed_engine(&mut self, listed: &ListedEngine) -> u8 {
        self.put_engine(listed.engine);
        self.put_text(&listed.name);
        self.put_text(&listed.address);
        self.put_varint(u64::from(listed.zone));
        self.put_varint(u64::from(listed.kind));
        self.put_phase(listed.phase);
        self.put_varint(listed.booted_at);
        kind::ENGINE
    }

    pub(super) fn put_open_request(&mut self, open: &OpenRequest) -> u8 {
        self.put_client_request(&open.client_request);
        self.put_index(open.class);
        self.put_index(open.tenant);
        self.put_time_before(open.arrived_at);
        self.put_time_after(open.deadline);
        self.put_varint(open.attempts);
        self.put_flag(open.running.is_some());
        if let Some(attempt) = open.running {
            self.put_engine(attempt.engine);
            self.put_time_before(attempt.sent_at);
        }
        kind::OPEN_REQUEST
    }

    pub(super) fn put_tally_entry(&mut self, tally: &Tally) -> u8 {
        self.put_tally(tally);
        kind::TALLY
    }

    pub(super) fn put_ended(&mut self, counters: &[(String, u64)]) -> u8 {
        self.put_varint(counters.len() as u64);
        for (name, value) in counters {
            self.put_text(name);
            self.put_varint(*value);
        }
        kind::ENDED
    }

    pub(super) fn put_gap(
        &mut self,
        from: Micros,
        to: Micros,
        entries: u64,
        counted: &Tally,
    ) -> u8 {
        self.put_time_before(from);
        self.put_time_before(to);
        self.put_varint(entries);
        self.put_tally(counted);
        kind::GAP
    }
}

impl Decoder<'_> {
    pub(super) fn read_segment_started(&mut self) -> Decoded<HostEvent> {
        Ok(HostEvent::SegmentStarted {
            name: self.read_text()?,
            epoch: self.read_varint()?,
            segment: self.read_varint()?,
        })
    }

    pub(super) fn read_names(&mut self) -> Decoded<Names> {
        Ok(Names {
            classes: self.read_texts()?,
            tenants: self.read_texts()?,
            zones: self.read_texts()?,
            kinds: self.read_texts()?,
            threads: self.read_list(MAX_ITEMS, Self::read_float)?,
        })
    }

    pub(super) fn read_listed_engine(&mut self) -> Decoded<ListedEngine> {
        Ok(ListedEngine {
            engine: self.read_engine()?,
            name: self.read_text()?,
            address: self.read_text()?,
            zone: self.read_u32()?,
            kind: self.read_u32()?,
            phase: self.read_phase()?,
            booted_at: self.read_varint()?,
        })
    }

    pub(super) fn read_open_request(&mut self) -> Decoded<OpenRequest> {
        Ok(OpenRequest {
            client_request: self.read_client_request()?,
            class: self.read_index()?,
            tenant: self.read_index()?,
            arrived_at: self.read_time_before()?,
            deadline: self.read_time_after()?,
            attempts: self.read_varint()?,
            running: self.read_running_attempt()?,
        })
    }

    pub(super) fn read_running_attempt(&mut self) -> Decoded<Option<RunningAttempt>> {
        if !self.read_flag()? {
            return Ok(None);
        }
        Ok(Some(RunningAttempt {
            engine: self.read_engine()?,
            sent_at: self.read_time_before()?,
        }))
    }

    pub(super) fn read_tally_entry(&mut self) -> Decoded<HostEvent> {
        let tally = self.read_tally()?;
        Ok(HostEvent::Tally(Box::new(tally)))
    }

    pub(super) fn read_ended(&mut self) -> Decoded<HostEvent> {
        let counters = self.read_list(MAX_ITEMS, Self::read_counter)?;
        Ok(HostEvent::Ended { counters })
    }

    pub(super) fn read_gap(&mut self) -> Decoded<HostEvent> {
        Ok(HostEvent::Gap {
            from: self.read_time_before()?,
            to: self.read_time_before()?,
            entries: self.read_varint()?,
            counted: Box::new(self.read_tally()?),
        })
    }

    pub(super) fn read_counter(&mut self) -> Decoded<(String, u64)> {
        Ok((self.read_text()?, self.read_varint()?))
    }
}
