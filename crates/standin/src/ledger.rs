//! What was asked, answered and done, held against the rules.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answers {
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Its connection ended first.
    pub lost: u64,
    /// Taken back by its client.
    pub forgotten: u64,
    /// Of the refused, those that said when to come back.
    pub advised: u64,
}

#[derive(Debug, Default)]
pub struct Ledger {
    /// By load.
    pub answers: BTreeMap<String, Answers>,
    /// How often a write took effect, by its key or id.
    effects: HashMap<String, u32>,
    /// What broke a rule, in words.
    pub broken: Vec<String>,
    /// How many broke one; the words of the first are kept.
    pub breaks: u64,
    /// Queries begun, by engine.
    pub begun: BTreeMap<String, u64>,
}

/// Words of so many broken rules are kept.
const MOST_WORDS: usize = 50;

impl Ledger {
    pub fn break_rule(&mut self, what: String) {
        self.breaks += 1;
        if self.broken.len() < MOST_WORDS {
            self.broken.push(what);
        }
    }

    pub fn took_effect(&mut self, key: &str, engine: &str) {
        let times = self.effects.entry(key.to_string()).or_default();
        *times += 1;
        if *times == 2 {
            self.break_rule(format!("{key} took effect twice, the second time at {engine}"));
        }
    }

    pub fn total(&self) -> Answers {
        self.answers.values().fold(Answers::default(), |sum, a| Answers {
            asked: sum.asked + a.asked,
            served: sum.served + a.served,
            refused: sum.refused + a.refused,
            failed: sum.failed + a.failed,
            lost: sum.lost + a.lost,
            forgotten: sum.forgotten + a.forgotten,
            advised: sum.advised + a.advised,
        })
    }
}

pub type Shared = Rc<RefCell<Ledger>>;
