//! Fault plans: drawn from a seed for a case, or read from a scenario. No I/O. A plan is the text
//! of a scenario: first the gateways, engines and loads, then one line for each fault, so that
//! faults can be removed one by one.

use std::fmt;
use std::ops::Range;

use eideryard_emulators::scenario::Scenario;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

mod draw;

/// Milliseconds without faults at the beginning of a plan: the undisturbed service there is the
/// baseline for the service after faults.
const QUIET_BEGIN: u64 = 2_000;
/// Milliseconds without new faults at the end of a plan, so that retries can finish.
const QUIET_END: u64 = 4_000;

/// The kind of a drawn plan: which features of the gateways it tests, with which faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Case {
    /// The store: gateways are killed, and clients retry at the same gateway.
    Store,
    /// Replicas of intents: kills, pauses, link cuts, wiped and outdated directories; clients retry
    /// at another gateway.
    Copies,
    /// Ownership of a task: pauses of 0.5 to 20 s, link cuts and kills.
    Owner,
    /// Power loss: all parts stop at once and return in random order.
    Power,
    /// Process, link, engine and discovery faults mixed, without a store or a fleet.
    Mix,
}

impl Case {
    /// The name on the command line and in the line of the verdict.
    pub fn name(self) -> &'static str {
        match self {
            Case::Store => "store",
            Case::Copies => "copies",
            Case::Owner => "owner",
            Case::Power => "power",
            Case::Mix => "mix",
        }
    }
}

/// A scenario, split into its faults and the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// All lines of the scenario that are not faults.
    pub head: String,
    /// Lines that begin with `at`; a drawn plan has them sorted by time.
    pub faults: Vec<String>,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.head)?;
        self.faults
            .iter()
            .try_for_each(|fault| writeln!(f, "{fault}"))
    }
}

impl Plan {
    /// Splits the text of a scenario. Syntax is checked by [`Plan::scenario`] only.
    pub fn from_text(text: &str) -> Self {
        let is_fault = |line: &&str| line.starts_with("at ");
        let head = text
            .lines()
            .filter(|line| !is_fault(line))
            .map(|line| format!("{line}\n"))
            .collect();
        Plan {
            head,
            faults: text.lines().filter(is_fault).map(str::to_string).collect(),
        }
    }

    /// Parses the plan as a scenario; errors name it by `name`.
    pub fn scenario(&self, name: &str) -> Result<Scenario, String> {
        Scenario::read(name, &self.to_string()).map_err(|e| e.to_string())
    }

    /// Copies this plan with other faults.
    pub fn with(&self, faults: &[String]) -> Self {
        Plan {
            head: self.head.clone(),
            faults: faults.to_vec(),
        }
    }
}

struct Draw {
    rng: StdRng,
    gateways: Vec<String>,
    engines: Vec<String>,
    /// Process faults drawn so far: the gateway or engine, start and end in milliseconds.
    process_faults: Vec<(String, u64, u64)>,
    /// Least milliseconds between two process faults of one gateway or engine.
    min_gap: u64,
    /// Whether links between gateways have faults too.
    has_peer_faults: bool,
    /// Faults begin between `from` and `until`, in milliseconds.
    from: u64,
    until: u64,
    faults: Vec<(u64, String)>,
}

/// Draws the plan of a case; equal arguments give an equal plan. `is_enabled` switches the feature
/// that the case tests (store, fleet or task); faults and loads don't depend on it.
pub fn draw(case: Case, seed: u64, gateways: usize, seconds: u64, is_enabled: bool) -> Plan {
    let gateway_names: Vec<String> = (1..=gateways).map(|number| format!("g{number}")).collect();
    let mut draw = Draw {
        rng: StdRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9) ^ case as u64),
        engines: ["a", "b", "c"]
            .iter()
            .flat_map(|cell| [1, 2].map(|n| format!("{cell}-{n}")))
            .collect(),
        gateways: gateway_names,
        process_faults: Vec::new(),
        min_gap: if case == Case::Store { 400 } else { 2_500 },
        has_peer_faults: matches!(case, Case::Copies | Case::Owner),
        from: QUIET_BEGIN.min(seconds * 200),
        until: (seconds * 1000)
            .saturating_sub(QUIET_END)
            .max(seconds * 400),
        faults: Vec::new(),
    };
    let count = (draw.until - draw.from) as usize / 1000;
    match case {
        Case::Store => (0..8 * count).for_each(|_| draw.add_kill_gateway("kept")),
        Case::Copies => (0..count).for_each(|_| draw.add_copies_fault()),
        Case::Owner => (0..count.div_ceil(2)).for_each(|_| draw.add_owner_fault()),
        Case::Power => draw.add_power_losses(),
        Case::Mix => (0..count).for_each(|_| draw.add_mixed_fault()),
    }
    draw.faults.sort();
    let faults = draw
        .faults
        .into_iter()
        .map(|(at, fault)| format!("at {at}ms {fault}"))
        .collect();
    Plan {
        head: head(case, seed, &draw.gateways, seconds, is_enabled),
        faults,
    }
}

/// The number of voters in a fleet with this number of gateways.
pub fn voter_count(gateways: usize) -> usize {
    match gateways {
        ..7 => 3,
        _ => 5,
    }
}

/// The part of a plan before its faults: six engines in three cells, each of which deduplicates
/// keys on its own, and loads of a safe, a keyed, an unsafe and an ordered class that use a little
/// under half of the cores.
fn head(case: Case, seed: u64, gateways: &[String], seconds: u64, is_enabled: bool) -> String {
    let back = if case == Case::Store { "same" } else { "other" };
    let mut head = format!(
        "# Case {}, seed {seed}.\nseed {seed}\ntime {seconds}s\n",
        case.name()
    );
    head += "class report {\n    effect safe\n}\nclass booking {\n    effect keyed\n    scope cell\n    \
             window 5s\n}\nclass payment {\n    effect unsafe\n    window 5s\n}\nclass entry {\n    \
             effect safe\n    \
             ordered\n}\n";
    for (cell, name) in ["a", "b", "c"].iter().enumerate() {
        head += &format!(
            "engines 2 {name} {{\n    cores 4\n    memory 8GB\n    warm-up 2s\n    cell {cell}\n    \
             orphans finish\n}}\n"
        );
    }
    for name in gateways {
        let mut lines = Vec::new();
        if is_enabled && matches!(case, Case::Store | Case::Copies | Case::Owner) {
            lines.push("store-dir {directory}/store".to_string());
        }
        if is_enabled && matches!(case, Case::Copies | Case::Owner) {
            lines.extend(["fleet rig {".into(), "listen 127.0.0.1:0".into()]);
            let voters = gateways.iter().take(voter_count(gateways.len()));
            lines.extend(voters.map(|voter| format!("keeper {voter} {{peer {voter}}}")));
            lines.extend((case == Case::Owner).then(|| "task probe".into()));
            lines.push("}".into());
        }
        let lines: String = lines
            .iter()
            .map(|line| format!("    operator \"{line}\"\n"))
            .collect();
        head += &format!("gateway {name} {{\n    memory 64MB\n{lines}}}\n");
    }
    let load = |name: &str, class: &str, rate: u64, work: u64, more: &str| {
        format!(
            "load {name} {{\n    class {class}\n    rate {rate}/s\n    work {work}ms\n    wait 2s\n    \
             connections 8\n    retries 2\n    hasty 10%\n{more}}}\n"
        )
    };
    let returns = format!("    returns 2\n    back {back}\n    marked 70%\n");
    head += &load("reports", "report", 60, 60, &returns);
    let bookings = if case == Case::Store { 40 } else { 25 };
    head += &load(
        "bookings",
        "booking",
        bookings,
        250,
        &format!("{returns}    late 5%\n"),
    );
    head += &load("payments", "payment", 10, 100, "");
    head + &load("entries", "entry", 8, 40, "    keys 6\n")
}

impl Draw {}

#[cfg(test)]
mod tests;
