//! Work with one owner: what the owners' core wants done, over links and through the store.

use super::*;

impl ReplicationDriver {
    /// Carries out what owners' part asks for.
    pub(super) fn owners(&mut self, todo: Vec<Todo>) {
        for next in todo {
            match next {
                Todo::Keeper(keeper, message) => {
                    self.hub
                        .tell(End::Voter(keeper), PeerMessage::Owners(message));
                }
                Todo::Asker(link, message) => {
                    _ = self
                        .hub
                        .tell(End::Requester(link), PeerMessage::Owners(message));
                }
                Todo::Askers(but, message) => {
                    for link in self.askers.keys().filter(|link| Some(**link) != but) {
                        self.hub
                            .tell(End::Requester(*link), PeerMessage::Owners(message.clone()));
                    }
                }
                Todo::Then(ticket, task, token, then) => {
                    self.promised.push_back((ticket, task, token, then));
                }
            }
        }
    }

    /// Does something of owners' part, where it is on.
    pub fn owning(&mut self, act: impl FnOnce(&mut LeaseDriver) -> Vec<Todo>) {
        let todo = self.owning.as_mut().map(act);
        self.owners(todo.unwrap_or_default());
    }

    /// Asks owners' part something, where it is on.
    pub fn ask_owning<T: Default>(&mut self, ask: impl FnOnce(&mut LeaseDriver) -> T) -> T {
        self.owning.as_mut().map(ask).unwrap_or_default()
    }
}
