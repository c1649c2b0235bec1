//! How a client's connection ends from this side. Where it may have more to say it is half-closed,
//! read on for a while and passed over (a lingering close): to close over what is unread would
//! reset it, and take answers along that are still on their way.

use super::*;

/// How long a connection that gets no more from here is still read.
const LINGER: Micros = 500_000;
/// Connections that are looked at for one that is idle in truth: the first may all just have said
/// something.
const MAX_LOOKS: usize = 16;

impl Clients {
    /// Room for another connection, at the cost of the one that asked for nothing for the longest
    /// time; first go those that never asked though they had the time to, then those that only
    /// linger.
    pub(super) fn close_idlest(
        &mut self,
        now: Micros,
        names: &Names,
        due: &mut Deadlines,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) -> bool {
        for _ in 0..MAX_LOOKS {
            let idle = self
                .table
                .iter()
                .filter(|(_, c)| c.open.is_empty() && c.connection.output.is_empty());
            let order = |c: &Client| {
                let lingers = c.closing != Closing::No;
                (
                    lingers || c.asked || now - c.used_at < FIRST_WORD,
                    !lingers,
                    c.used_at,
                )
            };
            let Some((key, _)) = idle.min_by_key(|(_, client)| order(client)) else {
                return false;
            };
            // What has come by now was taken, though nobody has looked at it: such a one isn't
            // idle.
            let before = counters.bytes_in;
            self.read(key, now, names, due, counters, heard);
            if self.table.get(key).is_none() {
                return true;
            }
            if counters.bytes_in == before {
                counters.ended.evicted += 1;
                self.tell(key, Change::Ends(CloseReason::Evicted));
                self.close(key, due, heard);
                return true;
            }
        }
        false
    }

    /// It was silent for too long, or has had the time to take its last answers.
    pub fn client_due(
        &mut self,
        key: Key,
        now: Micros,
        names: &Names,
        due: &mut Deadlines,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        client.deadline = None;
        if client.closing != Closing::No {
            return self.close(key, due, heard);
        }
        // What has come by now is in time, though nobody has looked at it.
        let (messages, mut before) = (client.messages, None);
        while before != Some(counters.bytes_in) {
            before = Some(counters.bytes_in);
            self.read(key, now, names, due, counters, heard);
            let waits =
                |client: &&Client| client.closing == Closing::No && client.messages == messages;
            if self.table.get(key).filter(waits).is_none() {
                return;
            }
        }
        counters.ended.silent += 1;
        self.tell(key, Change::Ends(CloseReason::IdleTimeout));
        self.spoil(key, now, due, heard);
    }

    /// Nothing more is taken from a connection: what is open on it ends now, and what it says is
    /// passed over.
    pub(super) fn spoil(
        &mut self,
        key: Key,
        now: Micros,
        due: &mut Deadlines,
        heard: &mut Vec<Heard>,
    ) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        client.closing = Closing::Answers;
        self.unread -= client.connection.input.len();
        client.connection.input.clear();
        due.renew(&mut client.deadline, now + LINGER, Due::Client(key));
        // What has no slot yet gets an error anyway, as it is no more taken from here.
        heard.extend(
            client
                .open
                .iter()
                .filter_map(|(_, request)| request.map(Heard::Spoilt)),
        );
        self.unflushed.push(key);
    }

    /// It doesn't read: what waits for it is dropped, and nothing more is written behind a part of
    /// an answer.
    pub(super) fn mute(
        &mut self,
        key: Key,
        now: Micros,
        due: &mut Deadlines,
        heard: &mut Vec<Heard>,
    ) {
        let Some(client) = self.table.get_mut(key) else {
            return;
        };
        client.closing = Closing::Mute;
        self.unread -= client.connection.input.len();
        client.connection.input.clear();
        self.unsent = self.unsent.saturating_sub(client.connection.output.len());
        client.connection.output.clear();
        client.connection.end_output();
        due.renew(&mut client.deadline, now + LINGER, Due::Client(key));
        heard.extend(
            client
                .open
                .drain(..)
                .filter_map(|(_, request)| request.map(Heard::Left)),
        );
    }

    /// Half-closes the connections that rest. One that has said something by now isn't at rest, and
    /// neither is one that is half way through a message: that may still be served.
    pub fn end_resting(
        &mut self,
        now: Micros,
        names: &Names,
        due: &mut Deadlines,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) {
        let resting = self
            .table
            .iter()
            .filter(|(_, client)| client.rests())
            .map(|(key, _)| key);
        for key in resting.collect::<Vec<_>>() {
            self.read(key, now, names, due, counters, heard);
            let Some(client) = self.table.get_mut(key).filter(|client| client.rests()) else {
                continue;
            };
            client.closing = Closing::Answers;
            client.connection.end_output();
            due.renew(&mut client.deadline, now + LINGER, Due::Client(key));
        }
    }

    /// The one place that gives a client's connection back.
    pub(super) fn close(&mut self, key: Key, due: &mut Deadlines, heard: &mut Vec<Heard>) {
        let Some(client) = self.table.remove(key) else {
            return;
        };
        self.tell(key, Change::Gone);
        due.take_back(client.deadline);
        self.unsent = self.unsent.saturating_sub(client.connection.output.len());
        self.unread -= client.connection.input.len();
        heard.extend(
            client
                .open
                .into_iter()
                .filter_map(|(_, request)| request.map(Heard::Left)),
        );
    }
}
