//! What clients say: whole messages out of what has come.

use super::*;

impl Clients {
    /// Reads what has come. Where there may be more, others get their turn first.
    pub fn read(
        &mut self,
        key: Key,
        now: Micros,
        names: &Names,
        due: &mut Deadlines,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) {
        for _ in 0..MAX_READS {
            let Some(client) = self.table.get_mut(key) else {
                return;
            };
            let before = client.connection.input.len();
            let filled = client.connection.fill();
            counters.bytes_in += (client.connection.input.len() - before) as u64;
            match filled {
                Ok(Filled::Some) if client.closing != Closing::No => {
                    client.connection.input.clear();
                }
                Ok(Filled::Some) => {
                    client.used_at = now;
                    let came = client.connection.input.len();
                    let understood = Self::understand(
                        key,
                        client,
                        (self.well, self.pages),
                        names,
                        counters,
                        heard,
                    );
                    let left = client.connection.input.len();
                    // Each message has its own time, from when it begins; the first request has it
                    // from the start of the connection.
                    client.messages += (left < came) as u64;
                    if client.asked && left < came {
                        due.take_back(client.deadline.take());
                    }
                    if client.deadline.is_none() && left > 0 {
                        client.deadline = Some(due.set(now + MAX_SILENCE, Due::Client(key)));
                    }
                    self.unread = self.unread + left - before;
                    let hoards = self.unread > self.most_unread
                        && left > self.most_unread / self.table.len();
                    if !understood || hoards {
                        counters.ended.malformed += !understood as u64;
                        counters.ended.hoarding += (understood && hoards) as u64;
                        self.tell(
                            key,
                            Change::Ends(if understood {
                                CloseReason::TooMuchUnread
                            } else {
                                CloseReason::Malformed
                            }),
                        );
                        self.spoil(key, now, due, heard);
                    }
                    self.unflushed.push(key);
                }
                Ok(Filled::Blocked) => {
                    self.unflushed.push(key);
                    return;
                }
                Ok(Filled::Ended) | Err(_) => {
                    self.close(key, due, heard);
                    return;
                }
            }
        }
        self.again.push(key);
    }

    /// All whole messages in a connection's buffer. False: what is there can't be read.
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn understand(
        key: Key,
        client: &mut Client,
        (well, pages): (bool, bool),
        names: &Names,
        counters: &mut Counters,
        heard: &mut Vec<Heard>,
    ) -> bool {
        let Connection { input, output, .. } = &mut client.connection;
        let (bytes, mut used) = (input.filled(), 0);
        let understood = loop {
            let (message, length) = match decode(&bytes[used..]) {
                Ok(Some(decoded)) => decoded,
                Ok(None) => break true,
                Err(_) => break false,
            };
            used += length;
            let (id, call) = match message {
                Message::Call {
                    id,
                    method,
                    fields,
                    body,
                } => (id, Call::read(names, method, &fields, body)),
                Message::Ask {
                    id,
                    method: "isWell",
                    ..
                } => {
                    counters.health_asked += 1;
                    client.asked = true;
                    write_health(output.tail(), id, well);
                    continue;
                }
                Message::Ask {
                    id,
                    method: method @ ("page" | "again" | "release"),
                    fields,
                } if pages => {
                    let field = |name| {
                        fields
                            .iter()
                            .find(|(own, _)| *own == name)
                            .map(|(_, value)| value.to_string())
                    };
                    client.asked = true;
                    if client.open.iter().any(|(own, _)| *own == id)
                        || client.open.len() >= MAX_OPEN
                    {
                        break false;
                    }
                    let (token, name) = (
                        field("token").unwrap_or_default(),
                        field("i").unwrap_or_default(),
                    );
                    let what = match method {
                        "page" => Asked::Page { token, id: name },
                        "again" => Asked::Again { id: name },
                        _ => Asked::Release { token, id: name },
                    };
                    client.open.push((id, None));
                    heard.push(Heard::Asked {
                        client: key,
                        id,
                        what,
                    });
                    continue;
                }
                Message::Ask { id, .. } | Message::Unusable { id } => (id, Err("parameters")),
                Message::Forget { ids } => {
                    for id in ids {
                        let Some(at) = client.open.iter().position(|(own, _)| *own == id) else {
                            continue;
                        };
                        match client.open.swap_remove(at).1 {
                            Some(request) => heard.push(Heard::Forgotten(request)),
                            // It has only just come, so it isn't taken at all.
                            None => heard.retain(|h| !h.is_call(key, id)),
                        }
                    }
                    continue;
                }
                Message::Other => continue,
            };
            client.asked = true;
            // Two open requests of one number could not be answered apart.
            if client.open.iter().any(|(own, _)| *own == id) {
                break false;
            }
            let call = if client.open.len() < MAX_OPEN {
                call
            } else {
                Err("one of too many")
            };
            client.open.push((id, None));
            heard.push(Heard::Call {
                client: key,
                id,
                call,
            });
        };
        input.consume(used);
        understood
    }
}
