//! Plans of faults: drawn from a seed for a case, or read from a scenario. Pure. A plan is the text
//! of a scenario: its parts and loads, and one line for each fault, which can be dropped one by
//! one.

use std::fmt;
use std::ops::Range;

use eideryard_emulators::scenario::Scenario;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

mod draw;

/// Faults are drawn from so long after the beginning, in milliseconds, so that there is a past to
/// hold service against, and up to so long before the end, so that retries find an end.
const QUIET_BEGIN: u64 = 2_000;
const QUIET_END: u64 = 4_000;

/// What a drawn plan is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Case {
    /// Kills of gateways; clients come again to the same one.
    Store,
    /// Kills, pauses, cuts, wiped and old directories; clients come again elsewhere.
    Copies,
    /// Pauses of 0.5 to 20 s, cuts and kills.
    Owner,
    /// All parts end at once and return in drawn order.
    Power,
    /// Everything.
    Mix,
}

impl Case {
    /// Its name on the command line.
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

/// A scenario and the faults that are played in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// All that is no fault.
    pub head: String,
    /// Lines that begin with `at`, in the order of their times.
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
    /// Of a scenario's text.
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

    /// The scenario with its faults, read under a name.
    pub fn scenario(&self, name: &str) -> Result<Scenario, String> {
        Scenario::read(name, &self.to_string()).map_err(|e| e.to_string())
    }

    /// The same scenario with other faults.
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
    /// From when to when each gateway and engine has a fault of its process, in milliseconds, and
    /// how far others keep away.
    busy: Vec<(String, u64, u64)>,
    apart: u64,
    /// Links between gateways have faults too.
    peers: bool,
    from: u64,
    until: u64,
    faults: Vec<(u64, String)>,
}

/// The plan of a case for a seed: always the same. `on`: with what the case is for; without it the
/// faults and loads are the same.
pub fn draw(case: Case, seed: u64, gateways: usize, seconds: u64, on: bool) -> Plan {
    let gateway_names: Vec<String> = (1..=gateways).map(|number| format!("g{number}")).collect();
    let mut draw = Draw {
        rng: StdRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9) ^ case as u64),
        engines: ["a", "b", "c"]
            .iter()
            .flat_map(|cell| [1, 2].map(|n| format!("{cell}-{n}")))
            .collect(),
        gateways: gateway_names,
        busy: Vec::new(),
        apart: if case == Case::Store { 400 } else { 2_500 },
        peers: matches!(case, Case::Copies | Case::Owner),
        from: QUIET_BEGIN.min(seconds * 200),
        until: (seconds * 1000)
            .saturating_sub(QUIET_END)
            .max(seconds * 400),
        faults: Vec::new(),
    };
    let count = (draw.until - draw.from) as usize / 1000;
    match case {
        Case::Store => (0..8 * count).for_each(|_| draw.kill_gateway("kept")),
        Case::Copies => (0..count).for_each(|_| draw.of_copies()),
        Case::Owner => (0..count.div_ceil(2)).for_each(|_| draw.of_owner()),
        Case::Power => draw.power(),
        Case::Mix => (0..count).for_each(|_| draw.of_all()),
    }
    draw.faults.sort();
    let faults = draw
        .faults
        .into_iter()
        .map(|(at, fault)| format!("at {at}ms {fault}"))
        .collect();
    Plan {
        head: head(case, seed, &draw.gateways, seconds, on),
        faults,
    }
}

/// Keepers of a fleet of so many gateways.
pub fn keepers(gateways: usize) -> usize {
    match gateways {
        ..7 => 3,
        _ => 5,
    }
}

/// Six engines in three cells that each know their own keys; clients of safe, keyed, unsafe and
/// ordered classes that take a little under half of the cores.
fn head(case: Case, seed: u64, gateways: &[String], seconds: u64, on: bool) -> String {
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
        if on && matches!(case, Case::Store | Case::Copies | Case::Owner) {
            lines.push("store-dir {directory}/store".to_string());
        }
        if on && matches!(case, Case::Copies | Case::Owner) {
            lines.extend(["fleet rig {".into(), "listen 127.0.0.1:0".into()]);
            let keepers = gateways.iter().take(keepers(gateways.len()));
            lines.extend(keepers.map(|keeper| format!("keeper {keeper} {{peer {keeper}}}")));
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
