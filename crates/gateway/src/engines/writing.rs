//! Writes what was queued for engines. No other code writes the first byte of an attempt.

use eideryard::interface::Outcome;

use super::{AttemptEnd, EngineContext, EngineEvent, Engines};
use crate::table::Key;

/// A function that decides whether an attempt may still be sent. The arguments are the request's
/// key and the attempt's index.
pub type StartPermission<'a> = &'a mut dyn FnMut(Key, usize) -> bool;

impl Engines {
    /// Writes what was queued since the last call. An attempt of which no byte has been written is
    /// cancelled if `may_begin` denies it. If `may_begin` is `None`, connections with such attempts
    /// are left for a later call.
    pub fn flush(
        &mut self,
        mut may_begin: Option<StartPermission<'_>>,
        context: &mut EngineContext<'_>,
    ) {
        let mut unflushed = std::mem::take(&mut self.unflushed);
        unflushed.sort_unstable();
        unflushed.dedup();
        for key in unflushed.drain(..) {
            self.flush_connection(key, &mut may_begin, context);
        }
    }

    fn flush_connection(
        &mut self,
        key: Key,
        may_begin: &mut Option<StartPermission<'_>>,
        context: &mut EngineContext<'_>,
    ) {
        let Some(connection) = self.table.get_mut(key) else {
            return;
        };
        // Once the connection is established, a read from it adds the connection to `unflushed`
        // again.
        if !connection.stream.is_established() {
            return;
        }
        let unsent = connection.unsent_attempts();
        if may_begin.is_none() && !unsent.is_empty() {
            self.unflushed.push(key);
            return;
        }
        let mut has_cancelled = false;
        for attempt in unsent {
            // A retired connection may lead to an address that the engine no longer uses.
            let is_allowed = !connection.is_retired
                && may_begin
                    .as_mut()
                    .is_some_and(|may_begin| may_begin(attempt.request, attempt.index));
            if !is_allowed && connection.cancel_unsent(&attempt.id) {
                let end = AttemptEnd::new(attempt.request, attempt.index, Outcome::NotSent);
                context.events.push(EngineEvent::AttemptEnded(end));
                has_cancelled = true;
            }
        }
        if connection.stream.flush().is_err() || connection.send_deferred_ranks().is_err() {
            self.close(key, Outcome::Broken, context);
        } else if has_cancelled {
            self.close_if_idle(key, context);
        }
    }
}
