//! Writes actions of the balancer as lines of the protocol.

use std::fmt::Write;

use eideryard::interface::Action;

/// Appends the line for one action of the gateway `instance` to the reply.
pub fn write_action(reply: &mut String, instance: u64, action: Action) {
    // Writing to a `String` can't fail.
    let _ = match action {
        Action::Grant {
            request,
            grant_mb,
            rank,
        } => writeln!(
            reply,
            "GRANT_AND_RANK who={instance} call={request} memory-grant={} importance={rank}",
            grant_mb.round()
        ),
        Action::Send {
            request,
            engine,
            attempt_deadline,
        } => writeln!(
            reply,
            "TRANSMIT who={instance} call={request} engine={engine} cut-at-us={attempt_deadline}"
        ),
        Action::Probe { engine } => writeln!(reply, "PING who={instance} engine={engine}"),
        Action::Cancel { request, attempt } => writeln!(
            reply,
            "DROP_ATTEMPT who={instance} call={request} send-no={attempt}"
        ),
        Action::Refuse {
            request,
            retry_after: 0,
        } => writeln!(reply, "SAY_NO who={instance} call={request}"),
        Action::Refuse {
            request,
            retry_after,
        } => writeln!(
            reply,
            "SAY_NO who={instance} call={request} backoff-us={retry_after}"
        ),
        Action::Fail { request } => writeln!(reply, "FAIL who={instance} call={request}"),
        Action::SetTimer { after, tag } => {
            writeln!(reply, "SLEEP who={instance} after-us={after} tag={tag}")
        }
        Action::Subscribe => writeln!(reply, "STREAM_CHANGES who={instance} want=1"),
        Action::Log(text) => writeln!(
            reply,
            "JOURNAL_LINE who={instance} reason-text={}",
            text.replace('\n', " ")
        ),
    };
}
