//! Entries as text, for `eideryard records dump` and `find`. Names in it are an interface for
//! whoever searches it; they are fixed here and are not the names of types and fields.

use std::fmt::{self, Debug, Display, Formatter};

use eideryard::interface as module;
use eideryard::interface::{Action, Event, Outcome, Phase, Progress};

use crate::entry::{
    AnswerKind, CloseReason, EntryRef, FleetEvent, Host, ListedEngine, Names, Offer, OpenRequest,
    RejectReason,
};

/// An entry, printed on one line: where it comes from (`in`, `out` or `host`) and what it says.
pub struct EntryText<'a>(pub EntryRef<'a>);

impl Display for EntryText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            EntryRef::In(event) => write!(f, "in {:?}", EventText(event)),
            EntryRef::Out(action) => write!(f, "out {:?}", ActionText(action)),
            EntryRef::Host(host) => write!(f, "host {:?}", HostText(host)),
        }
    }
}

/// A name that is written without quotes.
struct Bare(&'static str);

impl Debug for Bare {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// An outcome's name in text.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "Answered",
        Outcome::Error => "Error",
        Outcome::AtCapacity => "Full",
        Outcome::TimedOut => "TimedOut",
        Outcome::NoConnection => "NoConnection",
        Outcome::Broken => "Broken",
        Outcome::Cancelled => "Cancelled",
        Outcome::NotSent => "Unsent",
    }
}

/// A phase's name in text.
pub fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "Ready",
        Phase::Draining => "Draining",
        Phase::Removed => "Gone",
    }
}

fn not_taken_name(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::Invalid => "Invalid",
        RejectReason::NoRoom => "NoRoom",
        RejectReason::Gone => "Gone",
        RejectReason::LedgerFull => "LedgerFull",
        RejectReason::StoreStalled => "StoreStalled",
        RejectReason::NoMajority => "NoMajority",
    }
}

fn answer_name(answer: AnswerKind) -> &'static str {
    match answer {
        AnswerKind::Served => "Served",
        AnswerKind::Refused => "Refused",
        AnswerKind::Failed => "Failed",
        AnswerKind::Forgotten => "Forgotten",
        AnswerKind::Lost => "Lost",
    }
}

fn why_name(why: CloseReason) -> &'static str {
    match why {
        CloseReason::Malformed => "Malformed",
        CloseReason::Silent => "Silent",
        CloseReason::Hoarding => "Hoarding",
        CloseReason::Deaf => "Deaf",
        CloseReason::Evicted => "Evicted",
    }
}

struct EventText<'a>(&'a Event);

impl Debug for EventText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Event::CheckpointRestored { learned, age } => f
                .debug_struct("Remembered")
                .field("lessons", &LessonsText(learned))
                .field("age", age)
                .finish(),
            Event::EndpointSnapshot(entries) => f
                .debug_tuple("FullList")
                .field(&EntriesText(entries))
                .finish(),
            Event::EndpointChanges(entries) => f
                .debug_tuple("ListChanges")
                .field(&EntriesText(entries))
                .finish(),
            Event::DiscoveryFailed => f.write_str("ListFailed"),
            Event::Arrived(request) => f
                .debug_tuple("Arrived")
                .field(&RequestText(request))
                .finish(),
            Event::PriorAttempts {
                request,
                prior_attempts,
            } => f
                .debug_struct("RanBefore")
                .field("request", request)
                .field("earlier", &EarlierText(prior_attempts))
                .finish(),
            Event::StreamBegan { request } => f
                .debug_struct("StreamBegan")
                .field("request", request)
                .finish(),
            Event::ProgressReported {
                request,
                attempt,
                progress,
            } => f
                .debug_struct("Noted")
                .field("request", request)
                .field("attempt", attempt)
                .field("note", &NoteText(progress))
                .finish(),
            Event::AttemptEnded(ended) => f.debug_tuple("Ended").field(&EndedText(ended)).finish(),
            Event::Probed(probed) => f.debug_tuple("Probed").field(&ProbedText(probed)).finish(),
            Event::ClientLeft { request } => f
                .debug_struct("ClientLeft")
                .field("request", request)
                .finish(),
            Event::Timer { tag } => f.debug_struct("Timer").field("tag", tag).finish(),
        }
    }
}

struct ActionText<'a>(&'a Action);

impl Debug for ActionText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Action::Grant {
                request,
                grant_mb,
                rank,
            } => f
                .debug_struct("Terms")
                .field("request", request)
                .field("grant_mb", grant_mb)
                .field("rank", rank)
                .finish(),
            Action::Send {
                request,
                engine,
                attempt_deadline,
            } => f
                .debug_struct("Send")
                .field("request", request)
                .field("engine", engine)
                .field("give_up_at", attempt_deadline)
                .finish(),
            Action::Probe { engine } => f.debug_struct("Probe").field("engine", engine).finish(),
            Action::Cancel { request, attempt } => f
                .debug_struct("Cancel")
                .field("request", request)
                .field("attempt", attempt)
                .finish(),
            Action::Refuse {
                request,
                retry_after,
            } => f
                .debug_struct("Refuse")
                .field("request", request)
                .field("retry_after", retry_after)
                .finish(),
            Action::Fail { request } => f.debug_struct("Fail").field("request", request).finish(),
            Action::SetTimer { after, tag } => f
                .debug_struct("SetTimer")
                .field("after", after)
                .field("tag", tag)
                .finish(),
            Action::Subscribe => f.write_str("Subscribe"),
            Action::Log(text) => f.debug_tuple("Log").field(text).finish(),
        }
    }
}

struct EntriesText<'a>(&'a [module::Endpoint]);

impl Debug for EntriesText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries(self.0.iter().map(EntryOfListText))
            .finish()
    }
}

struct EntryOfListText<'a>(&'a module::Endpoint);

impl Debug for EntryOfListText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let entry = self.0;
        f.debug_struct("Entry")
            .field("engine", &entry.engine)
            .field("zone", &entry.zone)
            .field("kind", &entry.kind)
            .field("cell", &entry.cell)
            .field("phase", &Bare(phase_name(entry.phase)))
            .field("booted_at", &entry.booted_at)
            .finish()
    }
}

struct LessonsText<'a>(&'a module::LearnedState);

impl Debug for LessonsText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let classes: Vec<ClassLessonText<'_>> =
            self.0.classes.iter().map(ClassLessonText).collect();
        let engines: Vec<EngineLessonText<'_>> =
            self.0.engines.iter().map(EngineLessonText).collect();
        f.debug_struct("Lessons")
            .field("classes", &classes)
            .field("engines", &engines)
            .field("level", &self.0.baseline_load)
            .finish()
    }
}

struct ClassLessonText<'a>(&'a module::ClassEstimates);

impl Debug for ClassLessonText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let class = self.0;
        f.debug_struct("ClassLesson")
            .field("work_ratio", &class.work_ratio)
            .field("memory_ratio", &class.memory_ratio)
            .field("work", &class.work)
            .field("memory_mb", &class.memory_mb)
            .finish()
    }
}

struct EngineLessonText<'a>(&'a module::EngineEstimates);

impl Debug for EngineLessonText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let engine = self.0;
        f.debug_struct("EngineLesson")
            .field("engine", &engine.engine)
            .field("booted_at", &engine.booted_at)
            .field("stretch", &engine.slowdown)
            .field("best", &engine.best_slowdown)
            .field("bad", &engine.bad)
            .field("others", &engine.foreign_load)
            .finish()
    }
}

struct EarlierText<'a>(&'a [module::PriorAttempt]);

impl Debug for EarlierText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_list()
            .entries(self.0.iter().map(OneEarlierText))
            .finish()
    }
}

struct OneEarlierText<'a>(&'a module::PriorAttempt);

impl Debug for OneEarlierText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let earlier = self.0;
        f.debug_struct("Earlier")
            .field("zone", &earlier.zone)
            .field("cell", &earlier.cell)
            .field("since", &earlier.since)
            .finish()
    }
}

struct RequestText<'a>(&'a module::Request);

impl Debug for RequestText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let request = self.0;
        f.debug_struct("Request")
            .field("id", &request.id)
            .field("class", &request.class)
            .field("tenant", &request.tenant)
            .field("key", &request.key)
            .field("deadline", &request.deadline)
            .field("work", &request.work)
            .field("memory_mb", &request.memory_mb)
            .field("group", &request.group)
            .field("earlier", &EarlierText(&request.prior_attempts))
            .finish()
    }
}

struct NoteText<'a>(&'a Progress);

impl Debug for NoteText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Progress::Share(share) => f.debug_tuple("Progress").field(share).finish(),
            Progress::Spilling(missing_mb) => f.debug_tuple("Spilling").field(missing_mb).finish(),
            Progress::WaitsForMemory => f.write_str("WaitsForMemory"),
            Progress::WaitsForLoad => f.write_str("WaitsForLoad"),
        }
    }
}

struct EndedText<'a>(&'a module::AttemptEnded);

impl Debug for EndedText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let ended = self.0;
        f.debug_struct("Ended")
            .field("request", &ended.request)
            .field("attempt", &ended.attempt)
            .field("outcome", &Bare(outcome_name(ended.outcome)))
            .field("spent", &ended.spent)
            .field("complete", &ended.complete)
            .field("told", &ended.already_reported)
            .field("bill", &ended.usage.as_ref().map(BillText))
            .field("report", &ended.report.as_ref().map(ReportText))
            .finish()
    }
}

struct BillText<'a>(&'a module::ResourceUsage);

impl Debug for BillText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let bill = self.0;
        f.debug_struct("Bill")
            .field("work", &bill.work)
            .field("memory_mb", &bill.memory_mb)
            .finish()
    }
}

struct ReportText<'a>(&'a module::LoadReport);

impl Debug for ReportText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let report = self.0;
        f.debug_struct("LoadReport")
            .field("in_flight", &report.in_flight)
            .field("waiting_for_memory", &report.waiting_for_memory)
            .field("cores_busy", &report.cores_busy)
            .field("memory_granted", &report.memory_granted)
            .field("disks_busy", &report.disks_busy)
            .finish()
    }
}

struct ProbedText<'a>(&'a module::Probed);

impl Debug for ProbedText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let probed = self.0;
        f.debug_struct("Probed")
            .field("engine", &probed.engine)
            .field("outcome", &Bare(outcome_name(probed.outcome)))
            .field("report", &probed.report.as_ref().map(ReportText))
            .finish()
    }
}

struct HostText<'a>(&'a Host);

impl Debug for HostText<'_> {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Host::Begin {
                name,
                epoch,
                segment,
            } => f
                .debug_struct("Begin")
                .field("name", name)
                .field("epoch", epoch)
                .field("segment", segment)
                .finish(),
            Host::Names(names) => f.debug_tuple("Names").field(&NamesText(names)).finish(),
            Host::Engine(listed) => f.debug_tuple("Engine").field(&ListedText(listed)).finish(),
            Host::Open(open) => f.debug_tuple("Open").field(&OpenText(open)).finish(),
            Host::Tally(tally) => f.debug_tuple("Tally").field(tally).finish(),
            Host::StateWhole => f.write_str("StateWhole"),
            Host::Connected {
                connection,
                address,
            } => f
                .debug_struct("Connected")
                .field("connection", connection)
                .field("address", address)
                .finish(),
            Host::Ending { connection, why } => f
                .debug_struct("Ending")
                .field("connection", connection)
                .field("why", &Bare(why_name(*why)))
                .finish(),
            Host::Disconnected { connection } => f
                .debug_struct("Disconnected")
                .field("connection", connection)
                .finish(),
            Host::Offered(offer) => f.debug_tuple("Offered").field(&OfferText(offer)).finish(),
            Host::Attached { class, tenant } => f
                .debug_struct("Attached")
                .field("class", class)
                .field("tenant", tenant)
                .finish(),
            Host::NotTaken { how, class, tenant } => f
                .debug_struct("NotTaken")
                .field("how", &Bare(not_taken_name(*how)))
                .field("class", class)
                .field("tenant", tenant)
                .finish(),
            Host::Answered {
                request,
                class,
                tenant,
                how,
                late,
            } => f
                .debug_struct("Answered")
                .field("request", request)
                .field("class", class)
                .field("tenant", tenant)
                .field("how", &Bare(answer_name(*how)))
                .field("late", late)
                .finish(),
            Host::Link { up } => f.debug_struct("Link").field("up", up).finish(),
            Host::ListEvent { number } => {
                f.debug_struct("ListEvent").field("number", number).finish()
            }
            Host::Because { request, why } => f
                .debug_struct("Because")
                .field("request", request)
                .field("why", &Bare(not_taken_name(*why)))
                .finish(),
            Host::Fleet(word) => f.debug_tuple("Fleet").field(&FleetText(word)).finish(),
            Host::Reloaded { done } => f.debug_struct("Reloaded").field("done", done).finish(),
            Host::Alive => f.write_str("Alive"),
            Host::Stopping => f.write_str("Stopping"),
            Host::Ended { counters } => {
                f.debug_struct("Ended").field("counters", counters).finish()
            }
            Host::Gap {
                from,
                to,
                entries,
                counted,
            } => f
                .debug_struct("Gap")
                .field("from", from)
                .field("to", to)
                .field("entries", entries)
                .field("counted", counted)
                .finish(),
        }
    }
}

struct NamesText<'a>(&'a Names);

impl Debug for NamesText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let names = self.0;
        f.debug_struct("Names")
            .field("classes", &names.classes)
            .field("tenants", &names.tenants)
            .field("zones", &names.zones)
            .field("kinds", &names.kinds)
            .field("threads", &names.threads)
            .finish()
    }
}

struct ListedText<'a>(&'a ListedEngine);

impl Debug for ListedText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let listed = self.0;
        f.debug_struct("Listed")
            .field("engine", &listed.engine)
            .field("name", &listed.name)
            .field("address", &listed.address)
            .field("zone", &listed.zone)
            .field("kind", &listed.kind)
            .field("phase", &Bare(phase_name(listed.phase)))
            .field("booted_at", &listed.booted_at)
            .finish()
    }
}

struct OfferText<'a>(&'a Offer);

impl Debug for OfferText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let offer = self.0;
        f.debug_struct("Offer")
            .field("request", &offer.request)
            .field("id", &offer.id)
            .field("connection", &offer.connection)
            .finish()
    }
}

struct OpenText<'a>(&'a OpenRequest);

impl Debug for OpenText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let open = self.0;
        f.debug_struct("OpenRequest")
            .field("offer", &OfferText(&open.offer))
            .field("class", &open.class)
            .field("tenant", &open.tenant)
            .field("arrived_at", &open.arrived_at)
            .field("deadline", &open.deadline)
            .field("attempts", &open.attempts)
            .field("out", &open.out)
            .finish()
    }
}

struct FleetText<'a>(&'a FleetEvent);

impl Debug for FleetText<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            FleetEvent::Peer { name, state } => f
                .debug_struct("Peer")
                .field("name", name)
                .field("state", state)
                .finish(),
            FleetEvent::Turned { name, why } => f
                .debug_struct("Turned")
                .field("name", name)
                .field("why", why)
                .finish(),
            FleetEvent::Votes { votes } => f.debug_struct("Votes").field("votes", votes).finish(),
            FleetEvent::Majority { stands } => {
                f.debug_struct("Majority").field("stands", stands).finish()
            }
            FleetEvent::Owns { task, term, owns } => f
                .debug_struct("Owns")
                .field("task", task)
                .field("term", term)
                .field("owns", owns)
                .finish(),
            FleetEvent::Work {
                task,
                term,
                owner,
                counts,
            } => f
                .debug_struct("Work")
                .field("task", task)
                .field("term", term)
                .field("owner", owner)
                .field("counts", counts)
                .finish(),
        }
    }
}
