//! The wire's words, translated to and from `eideryard::interface`. No decision is made here.

use eideryard::balancer::Balancer;
use eideryard::interface::*;
use eideryard_settings::{set_reported, settings, Tree};
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;

/// The gateways of this process and the batch being read.
#[derive(Default)]
pub struct Host {
    /// Each with the number of classes that its settings name.
    gateways: BTreeMap<u64, (Balancer, usize)>,
    lists: HashMap<u64, Vec<Endpoint>>,
    /// The list whose items are being read, and how many are still to come.
    open_list: Option<(u64, u64)>,
    /// Clock and number of the batch being read.
    batch: Option<(Micros, u64)>,
    actions: Vec<Action>,
    reply: String,
}

/// The fields of one line, as written.
struct Fields<'a> {
    verb: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    fn new(line: &'a str) -> Result<Self, String> {
        let mut parts = line.split(' ').filter(|part| !part.is_empty());
        let verb = parts.next().unwrap_or("");
        let pairs = parts
            .map(|part| {
                part.split_once('=')
                    .ok_or_else(|| format!("{verb}: '{part}' is not name=value"))
            })
            .collect::<Result<_, _>>()?;
        Ok(Fields { verb, pairs })
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs
            .iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| *value)
    }

    fn optional<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, String> {
        self.text(name)
            .map(|value| number(self.verb, name, value))
            .transpose()
    }

    fn required<T: std::str::FromStr>(&self, name: &str) -> Result<T, String> {
        self.optional(name)?
            .ok_or_else(|| format!("{}: field '{name}' is missing", self.verb))
    }

    fn or<T: std::str::FromStr>(&self, name: &str, default: T) -> Result<T, String> {
        Ok(self.optional(name)?.unwrap_or(default))
    }
}

fn number<T: std::str::FromStr>(verb: &str, name: &str, value: &str) -> Result<T, String> {
    value
        .parse()
        .map_err(|_| format!("{verb}: field '{name}' has the value '{value}', which is not valid"))
}

impl Host {
    /// Takes one line; gives the reply where the line ends a batch.
    pub fn take_line(&mut self, line: &str) -> Result<Option<&str>, String> {
        if line.is_empty() {
            return Ok(None);
        }
        let fields = Fields::new(line)?;
        if self.open_list.is_some() && fields.verb != "ITEM" {
            return Err(format!("{}: a list still lacks entries", fields.verb));
        }
        if fields.verb == "FRAME" {
            if self.batch.is_some() {
                return Err("FRAME: the batch before it has no GO".into());
            }
            self.batch = Some((fields.required("wall-us")?, fields.required("turn")?));
            self.reply.clear();
            return Ok(None);
        }
        let (now, turn) = self
            .batch
            .ok_or_else(|| format!("{}: outside of a batch", fields.verb))?;
        match fields.verb {
            "GO" => {
                self.batch = None;
                let _ = writeln!(self.reply, "READY turn={turn}");
                return Ok(Some(&self.reply));
            }
            "MANIFEST" => self.begin_list(&fields)?,
            "ITEM" => self.add_item(&fields)?,
            "ENLIST" => {
                let who = fields.required("who")?;
                let settings = settings(&Tree::from_pairs(fields.pairs.iter().copied()))
                    .map_err(|wrong| format!("ENLIST: {wrong}"))?;
                let classes = settings.classes.len();
                let gateway = Balancer::new(settings, fields.required("init-seed")?, now);
                self.gateways.insert(who, (gateway, classes));
            }
            "TEARDOWN" => {
                let who: u64 = fields.required("who")?;
                self.gateways
                    .remove(&who)
                    .ok_or_else(|| format!("TEARDOWN: no instance {who}"))?;
            }
            _ => self.drive(now, &fields)?,
        }
        Ok(None)
    }

    /// The end of input: fine between batches only.
    pub fn at_rest(&self) -> Result<(), String> {
        match self.batch {
            Some((_, turn)) => Err(format!("input ended inside batch {turn}")),
            None => Ok(()),
        }
    }

    fn begin_list(&mut self, fields: &Fields<'_>) -> Result<(), String> {
        let (list, count): (u64, u64) = (fields.required("ref")?, fields.required("members-list")?);
        self.lists.insert(list, Vec::new());
        self.open_list = (count > 0).then_some((list, count));
        Ok(())
    }

    fn add_item(&mut self, fields: &Fields<'_>) -> Result<(), String> {
        let (list, left) = self.open_list.ok_or("ITEM: no list awaits an entry")?;
        let phase = match fields.or("phase", 1u32)? {
            0 => Phase::Draining,
            1 => Phase::Ready,
            3 => Phase::Removed,
            other => return Err(format!("ITEM: phase {other} is unknown")),
        };
        let entry = Endpoint {
            engine: fields.required("engine")?,
            zone: fields.or("campus", 0)?,
            kind: fields.or("flavor", 0)?,
            cell: fields.or("group", 0)?,
            phase,
            booted_at: fields.or("boot-time-us", 0)?,
        };
        self.lists.entry(list).or_default().push(entry);
        self.open_list = (left > 1).then_some((list, left - 1));
        Ok(())
    }

    fn drive(&mut self, now: Micros, fields: &Fields<'_>) -> Result<(), String> {
        let who: u64 = match fields.verb {
            "MEMBERS" | "CALL" | "ACK_FIRST" | "HINT_UPDATE" | "FINISHED" | "TIMED_OUT_CLIENT"
            | "ELAPSED" | "PROBE_DONE" | "PEER" => fields.required("who")?,
            // Events added to the wire later concern nothing that is known here.
            _ => return Ok(()),
        };
        if !self.gateways.contains_key(&who) {
            return Err(format!("{}: no instance {who}", fields.verb));
        }
        let Some(event) = self.event(fields)? else {
            return Ok(());
        };
        let Some((gateway, classes)) = self.gateways.get_mut(&who) else {
            return Ok(());
        };
        if let Event::Arrived(request) = &event {
            if request.class >= *classes {
                return Err(format!(
                    "CALL: class {} is unknown to instance {who}",
                    request.class
                ));
            }
        }
        gateway.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(&mut self.reply, who, action);
        }
        Ok(())
    }

    fn event(&self, fields: &Fields<'_>) -> Result<Option<Event>, String> {
        let request = || fields.required::<RequestId>("call");
        let attempt = || fields.required::<usize>("send-no");
        Ok(Some(match fields.verb {
            "MEMBERS" => match fields.required::<u32>("mode")? {
                3 => Event::DiscoveryFailed,
                mode @ 0..=2 => {
                    let list: u64 = fields.required("ref")?;
                    let entries = self
                        .lists
                        .get(&list)
                        .ok_or_else(|| format!("MEMBERS: no list {list}"))?;
                    match mode {
                        2 => Event::EndpointChanges(entries.clone()),
                        _ => Event::EndpointSnapshot(entries.clone()),
                    }
                }
                mode => return Err(format!("MEMBERS: mode {mode} is unknown")),
            },
            "CALL" => Event::Arrived(call(fields)?),
            "ACK_FIRST" => Event::StreamBegan {
                request: request()?,
            },
            "HINT_UPDATE" => {
                let level: f64 = fields.or("level", 0.0)?;
                let note = match (fields.required::<u32>("what")?, level) {
                    (1, share) => Progress::Share(share),
                    (2, missing) => Progress::Spilling(missing),
                    (3, 2.0) => Progress::WaitsForLoad,
                    (3, _) => Progress::WaitsForMemory,
                    _ => return Ok(None),
                };
                Event::ProgressReported {
                    request: request()?,
                    attempt: attempt()?,
                    progress: note,
                }
            }
            "FINISHED" => Event::AttemptEnded(AttemptEnded {
                request: request()?,
                attempt: attempt()?,
                outcome: outcome(fields)?,
                spent: fields.or("spent-us", 0)?,
                complete: fields.or("complete", 0u8)? != 0,
                already_reported: false,
                usage: fields.optional("stats")?.and_then(bill),
                report: report(fields)?,
            }),
            "PROBE_DONE" => Event::Probed(Probed {
                engine: fields.required("engine")?,
                outcome: outcome(fields)?,
                report: report(fields)?,
            }),
            "TIMED_OUT_CLIENT" => Event::ClientLeft {
                request: request()?,
            },
            "ELAPSED" => Event::Timer {
                tag: fields.required("tag")?,
            },
            _ => return Ok(None),
        }))
    }
}

fn call(fields: &Fields<'_>) -> Result<Request, String> {
    let options: u64 = fields.or("options", 0)?;
    let work: f64 = fields.or("cost-us", 0.0)?;
    let memory: f64 = fields.or("ram-mb", 0.0)?;
    Ok(Request {
        id: fields.required("call")?,
        class: fields.required("kind")?,
        tenant: fields.or("org", 0)?,
        key: fields.text("key").map(str::to_string),
        deadline: fields.required("client-deadline-us")?,
        work: (options & 1 != 0 && work > 0.0).then_some(work),
        memory_mb: (memory > 0.0).then_some(memory),
        group: fields.or("schema-no", 0.0)? as u64,
        prior_attempts: Vec::new(),
    })
}

fn outcome(fields: &Fields<'_>) -> Result<Outcome, String> {
    Ok(
        match fields
            .text("rc")
            .ok_or_else(|| format!("{}: field 'rc' is missing", fields.verb))?
        {
            "delivered" => Outcome::Answered,
            "app_error" => Outcome::Error,
            "shed" => Outcome::AtCapacity,
            "expired" => Outcome::TimedOut,
            "dial_failed" => Outcome::NoConnection,
            "dropped" => Outcome::Broken,
            "revoked" => Outcome::Cancelled,
            "unused" => Outcome::NotSent,
            other => return Err(format!("{}: outcome '{other}' is unknown", fields.verb)),
        },
    )
}

/// Milliseconds of work x 4096, plus memory in units of 4 MB.
fn bill(stats: u64) -> Option<ResourceUsage> {
    (stats > 0).then_some(ResourceUsage {
        work: (stats / 4096) as f64 * 1e3,
        memory_mb: (stats % 4096) as f64 * 4.0,
    })
}

fn report(fields: &Fields<'_>) -> Result<Option<LoadReport>, String> {
    let Some(text) = fields.text("report") else {
        return Ok(None);
    };
    let mut report = LoadReport::default();
    for part in text.split(',').filter(|part| !part.is_empty()) {
        let (name, value) = part
            .split_once(':')
            .ok_or_else(|| format!("{}: '{part}' is not name:value", fields.verb))?;
        set_reported(&mut report, name, number(fields.verb, name, value)?);
    }
    Ok(Some(report))
}

fn write_action(reply: &mut String, who: u64, action: Action) {
    // Writing to a String cannot fail.
    let _ = match action {
        Action::Grant {
            request,
            grant_mb,
            rank,
        } => writeln!(
            reply,
            "GRANT_AND_RANK who={who} call={request} memory-grant={} importance={rank}",
            grant_mb.round()
        ),
        Action::Send {
            request,
            engine,
            attempt_deadline,
        } => {
            writeln!(
                reply,
                "TRANSMIT who={who} call={request} engine={engine} cut-at-us={attempt_deadline}"
            )
        }
        Action::Probe { engine } => writeln!(reply, "PING who={who} engine={engine}"),
        Action::Cancel { request, attempt } => {
            writeln!(
                reply,
                "DROP_ATTEMPT who={who} call={request} send-no={attempt}"
            )
        }
        Action::Refuse {
            request,
            retry_after: 0,
        } => writeln!(reply, "SAY_NO who={who} call={request}"),
        Action::Refuse {
            request,
            retry_after,
        } => {
            writeln!(
                reply,
                "SAY_NO who={who} call={request} backoff-us={retry_after}"
            )
        }
        Action::Fail { request } => writeln!(reply, "FAIL who={who} call={request}"),
        Action::SetTimer { after, tag } => {
            writeln!(reply, "SLEEP who={who} after-us={after} tag={tag}")
        }
        Action::Subscribe => writeln!(reply, "STREAM_CHANGES who={who} want=1"),
        Action::Log(text) => {
            writeln!(
                reply,
                "JOURNAL_LINE who={who} reason-text={}",
                text.replace('\n', " ")
            )
        }
    };
}
