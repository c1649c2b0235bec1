//! Draws faults at random times. Process faults of one gateway or engine don't overlap.

use super::*;

impl Draw {
    pub(super) fn draw_time(&mut self) -> u64 {
        self.rng.random_range(self.from..self.until)
    }

    pub(super) fn draw_millis(&mut self, range: Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    pub(super) fn add(&mut self, at: u64, fault: String) {
        self.faults.push((at, fault));
    }

    /// Draws a gateway or engine without a process fault between `at` and `until` and reserves it
    /// for a new fault in that time. `None` if all have one.
    pub(super) fn draw_target(&mut self, engines: bool, at: u64, until: u64) -> Option<String> {
        let all = if engines {
            &self.engines
        } else {
            &self.gateways
        };
        // Faults are not drawn in the order of their times.
        let is_apart = |(faulty, from, to): &(String, u64, u64), name: &str| {
            faulty != name || at > to + self.min_gap || until + self.min_gap < *from
        };
        let free: Vec<&String> = all
            .iter()
            .filter(|name| {
                self.process_faults
                    .iter()
                    .all(|fault| is_apart(fault, name))
            })
            .collect();
        let name = (*free.choose(&mut self.rng)?).clone();
        self.process_faults.push((name.clone(), at, until));
        Some(name)
    }

    pub(super) fn draw_gateway(&mut self) -> String {
        self.gateways
            .choose(&mut self.rng)
            .cloned()
            .unwrap_or_default()
    }

    /// Kills a gateway and starts it again with its directory `kept`, `wiped` or `old` (restored
    /// from an earlier copy).
    pub(super) fn add_kill_gateway(&mut self, directory: &str) {
        let (at, down) = (
            self.draw_time(),
            self.draw_millis(100..1_500.min(2 * self.min_gap)),
        );
        let Some(name) = self.draw_target(false, at, at + down) else {
            return;
        };
        self.add(at, format!("kill-gateway {name}"));
        match directory {
            "wiped" => self.add(at + down / 2, format!("wipe-directory {name}")),
            "old" => {
                let saved = self.draw_millis(self.from / 2..self.from);
                self.add(saved, format!("save-directory {name}"));
                self.add(at + down / 2, format!("put-back-directory {name}"));
            }
            _ => {}
        }
        self.add(at + down, format!("start-gateway {name}"));
    }

    pub(super) fn add_restart_gateway(&mut self) {
        let at = self.draw_time();
        let Some(name) = self.draw_target(false, at, at + 1_500) else {
            return;
        };
        self.add(at, format!("stop-gateway {name}"));
        self.add(at + 1_500, format!("start-gateway {name}"));
    }

    pub(super) fn add_pause_gateway(&mut self, range: Range<u64>) {
        let (at, lasts) = (self.draw_time(), self.draw_millis(range));
        let lasts = lasts.min(self.until.saturating_sub(at).max(500));
        let Some(name) = self.draw_target(false, at, at + lasts) else {
            return;
        };
        self.add(at, format!("pause-gateway {name} for {lasts}ms"));
    }

    pub(super) fn add_restart_engine(&mut self) {
        let (at, down) = (self.draw_time(), self.draw_millis(300..2_000));
        let Some(name) = self.draw_target(true, at, at + down) else {
            return;
        };
        self.add(at, format!("kill {name}"));
        self.add(at + down, format!("start {name}"));
    }

    pub(super) fn add_drain(&mut self) {
        let (at, lasts) = (self.draw_time(), self.draw_millis(1_000..3_000));
        let Some(name) = self.draw_target(true, at, at + lasts) else {
            return;
        };
        self.add(at, format!("drain {name}"));
        self.add(at + lasts, format!("list {name}"));
    }

    pub(super) fn add_link_fault(&mut self) {
        let (at, lasts) = (self.draw_time(), self.draw_millis(200..2_500));
        let near = self.draw_gateway();
        let far = match self
            .rng
            .random_range(0..if self.has_peer_faults { 8 } else { 4 })
        {
            4 => "gateways".to_string(),
            5.. => {
                let others = self
                    .gateways
                    .iter()
                    .filter(|name| **name != near)
                    .collect::<Vec<_>>();
                others
                    .choose(&mut self.rng)
                    .map(|name| name.to_string())
                    .unwrap_or_default()
            }
            0 => "clients".to_string(),
            1 => "bulletin".to_string(),
            2 => "engines".to_string(),
            _ => self
                .engines
                .choose(&mut self.rng)
                .cloned()
                .unwrap_or_default(),
        };
        let way = *["both", "both", "there", "back"]
            .choose(&mut self.rng)
            .unwrap_or(&"both");
        let fault = match self.rng.random_range(0..7) {
            0 | 1 => format!("link-cut {near} {far} way {way} for {lasts}ms"),
            2 => format!(
                "link-delay {near} {far} by {}ms for {lasts}ms",
                self.draw_millis(5..200)
            ),
            3 => format!("link-stall {near} {far} way {way} for {lasts}ms"),
            4 => format!("link-swallow {near} {far} way {way} for {lasts}ms"),
            5 => format!(
                "link-flap {near} {far} every {}ms for {lasts}ms",
                self.draw_millis(30..300)
            ),
            _ => format!("link-throttle {near} {far} to 2KB for {lasts}ms"),
        };
        self.add(at, fault);
    }

    pub(super) fn add_stall_disk(&mut self) {
        let (at, lasts) = (self.draw_time(), self.draw_millis(200..3_000));
        let name = self.draw_gateway();
        self.add(at, format!("stall-disk {name} for {lasts}ms"));
    }

    pub(super) fn add_copies_fault(&mut self) {
        match self.rng.random_range(0..9) {
            0 | 1 => self.add_kill_gateway("kept"),
            2 => self.add_kill_gateway("wiped"),
            3 => self.add_kill_gateway("old"),
            4 => self.add_pause_gateway(500..4_000),
            5 => self.add_stall_disk(),
            _ => self.add_link_fault(),
        }
    }

    pub(super) fn add_owner_fault(&mut self) {
        match self.rng.random_range(0..4) {
            0 | 1 => self.add_pause_gateway(500..20_000),
            2 => self.add_kill_gateway("kept"),
            _ => self.add_link_fault(),
        }
    }

    pub(super) fn add_mixed_fault(&mut self) {
        match self.rng.random_range(0..14) {
            0..=2 => self.add_kill_gateway("kept"),
            3 => self.add_kill_gateway("wiped"),
            4 => self.add_restart_gateway(),
            5 => self.add_pause_gateway(300..3_000),
            6 => self.add_restart_engine(),
            7 => self.add_drain(),
            8 => {
                let (at, lasts) = (self.draw_time(), self.draw_millis(500..3_000));
                self.add(at, "bulletin down".into());
                self.add(at + lasts, "bulletin up".into());
            }
            9 => {
                let (at, near) = (self.draw_time(), self.draw_gateway());
                self.add(at, format!("link-reset {near} engines"));
            }
            _ => self.add_link_fault(),
        }
    }

    /// Adds a power loss. Some seeds lose power again while parts return; in some, a gateway starts
    /// with a wiped or an outdated directory, or late.
    pub(super) fn add_power_losses(&mut self) {
        let at = self.draw_millis(self.from..self.from + (self.until - self.from) / 3);
        let mut back = at + self.draw_millis(500..2_000);
        self.add(at, "power-loss".into());
        if self.rng.random_bool(0.3) {
            let within = self.draw_millis(500..2_000);
            self.add(back, format!("power-back all within {within}ms"));
            let again = back + within + self.draw_millis(100..1_000);
            self.add(again, "power-loss".into());
            back = again + self.draw_millis(500..1_500);
        }
        let gateways = self.gateways.clone();
        if let Some(name) = gateways
            .choose(&mut self.rng)
            .filter(|_| self.rng.random_bool(0.4))
        {
            self.add(back - 100, format!("wipe-directory {name}"));
        }
        if let Some(name) = gateways
            .choose(&mut self.rng)
            .filter(|_| self.rng.random_bool(0.4))
        {
            self.add(self.from / 2, format!("save-directory {name}"));
            self.add(back - 90, format!("put-back-directory {name}"));
        }
        let within = self.draw_millis(500..2_000);
        let late = gateways
            .choose(&mut self.rng)
            .filter(|_| self.rng.random_bool(0.4))
            .cloned();
        let Some(late) = late else {
            return self.add(back, format!("power-back all within {within}ms"));
        };
        let others: Vec<&str> = ["bulletin"]
            .into_iter()
            .chain(self.engines.iter().map(String::as_str))
            .chain(
                gateways
                    .iter()
                    .map(String::as_str)
                    .filter(|name| *name != late),
            )
            .collect();
        self.add(
            back,
            format!("power-back {} within {within}ms", others.join(" ")),
        );
        let after = back + within + self.draw_millis(1_000..3_000);
        self.add(after, format!("start-gateway {late}"));
    }
}
