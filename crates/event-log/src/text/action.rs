//! Formats actions of the decision module as text.

use std::fmt::{self, Debug, Formatter};

use eideryard::interface::Action;

use super::{write_struct, write_tuple};

pub(super) struct ActionText<'a>(pub &'a Action);

impl Debug for ActionText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Action::Grant {
                request,
                grant_mb,
                rank,
            } => write_struct(
                f,
                "Terms",
                &[("request", request), ("grant_mb", grant_mb), ("rank", rank)],
            ),
            Action::Send {
                request,
                engine,
                attempt_deadline,
            } => write_struct(
                f,
                "Send",
                &[
                    ("request", request),
                    ("engine", engine),
                    ("give_up_at", attempt_deadline),
                ],
            ),
            Action::Probe { engine } => write_struct(f, "Probe", &[("engine", engine)]),
            Action::Cancel { request, attempt } => {
                write_struct(f, "Cancel", &[("request", request), ("attempt", attempt)])
            }
            Action::Refuse {
                request,
                retry_after,
            } => write_struct(
                f,
                "Refuse",
                &[("request", request), ("retry_after", retry_after)],
            ),
            Action::Fail { request } => write_struct(f, "Fail", &[("request", request)]),
            Action::SetTimer { after, tag } => {
                write_struct(f, "SetTimer", &[("after", after), ("tag", tag)])
            }
            Action::Subscribe => f.write_str("Subscribe"),
            Action::Log(text) => write_tuple(f, "Log", text),
        }
    }
}
