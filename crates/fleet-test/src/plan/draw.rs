//! Draws faults: each at a time of its own, on gateways and engines that are free of others then.

use super::*;

impl Draw {
    pub(super) fn time(&mut self) -> u64 {
        self.rng.random_range(self.from..self.until)
    }

    pub(super) fn lasts(&mut self, range: Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    pub(super) fn put(&mut self, at: u64, fault: String) {
        self.faults.push((at, fault));
    }

    /// One whose process has no other fault in a time; its own lasts that long from now on.
    pub(super) fn free(&mut self, engines: bool, at: u64, until: u64) -> Option<String> {
        let all = if engines {
            &self.engines
        } else {
            &self.gateways
        };
        // Faults are drawn in any order.
        let apart = |(own, from, to): &(String, u64, u64), name: &str| {
            own != name || at > to + self.apart || until + self.apart < *from
        };
        let free: Vec<&String> = all
            .iter()
            .filter(|name| self.busy.iter().all(|busy| apart(busy, name)))
            .collect();
        let name = (*free.choose(&mut self.rng)?).clone();
        self.busy.push((name.clone(), at, until));
        Some(name)
    }

    pub(super) fn gateway(&mut self) -> String {
        self.gateways
            .choose(&mut self.rng)
            .cloned()
            .unwrap_or_default()
    }

    /// Killed, and started again with its directory `kept`, `wiped` or `old`.
    pub(super) fn kill_gateway(&mut self, directory: &str) {
        let (at, down) = (self.time(), self.lasts(100..1_500.min(2 * self.apart)));
        let Some(name) = self.free(false, at, at + down) else {
            return;
        };
        self.put(at, format!("kill-gateway {name}"));
        match directory {
            "wiped" => self.put(at + down / 2, format!("wipe-directory {name}")),
            "old" => {
                let saved = self.lasts(self.from / 2..self.from);
                self.put(saved, format!("save-directory {name}"));
                self.put(at + down / 2, format!("put-back-directory {name}"));
            }
            _ => {}
        }
        self.put(at + down, format!("start-gateway {name}"));
    }

    pub(super) fn restart_gateway(&mut self) {
        let at = self.time();
        let Some(name) = self.free(false, at, at + 1_500) else {
            return;
        };
        self.put(at, format!("stop-gateway {name}"));
        self.put(at + 1_500, format!("start-gateway {name}"));
    }

    pub(super) fn pause_gateway(&mut self, range: Range<u64>) {
        let (at, lasts) = (self.time(), self.lasts(range));
        let lasts = lasts.min(self.until.saturating_sub(at).max(500));
        let Some(name) = self.free(false, at, at + lasts) else {
            return;
        };
        self.put(at, format!("pause-gateway {name} for {lasts}ms"));
    }

    pub(super) fn restart_engine(&mut self) {
        let (at, down) = (self.time(), self.lasts(300..2_000));
        let Some(name) = self.free(true, at, at + down) else {
            return;
        };
        self.put(at, format!("kill {name}"));
        self.put(at + down, format!("start {name}"));
    }

    pub(super) fn drain(&mut self) {
        let (at, lasts) = (self.time(), self.lasts(1_000..3_000));
        let Some(name) = self.free(true, at, at + lasts) else {
            return;
        };
        self.put(at, format!("drain {name}"));
        self.put(at + lasts, format!("list {name}"));
    }

    pub(super) fn link(&mut self) {
        let (at, lasts) = (self.time(), self.lasts(200..2_500));
        let near = self.gateway();
        let far = match self.rng.random_range(0..if self.peers { 8 } else { 4 }) {
            4 => "gateways".to_string(),
            5.. => {
                let others = self
                    .gateways
                    .iter()
                    .filter(|own| **own != near)
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
                self.lasts(5..200)
            ),
            3 => format!("link-stall {near} {far} way {way} for {lasts}ms"),
            4 => format!("link-swallow {near} {far} way {way} for {lasts}ms"),
            5 => format!(
                "link-flap {near} {far} every {}ms for {lasts}ms",
                self.lasts(30..300)
            ),
            _ => format!("link-throttle {near} {far} to 2KB for {lasts}ms"),
        };
        self.put(at, fault);
    }

    pub(super) fn stall_disk(&mut self) {
        let (at, lasts) = (self.time(), self.lasts(200..3_000));
        let name = self.gateway();
        self.put(at, format!("stall-disk {name} for {lasts}ms"));
    }

    pub(super) fn of_copies(&mut self) {
        match self.rng.random_range(0..9) {
            0 | 1 => self.kill_gateway("kept"),
            2 => self.kill_gateway("wiped"),
            3 => self.kill_gateway("old"),
            4 => self.pause_gateway(500..4_000),
            5 => self.stall_disk(),
            _ => self.link(),
        }
    }

    pub(super) fn of_owner(&mut self) {
        match self.rng.random_range(0..4) {
            0 | 1 => self.pause_gateway(500..20_000),
            2 => self.kill_gateway("kept"),
            _ => self.link(),
        }
    }

    pub(super) fn of_all(&mut self) {
        match self.rng.random_range(0..14) {
            0..=2 => self.kill_gateway("kept"),
            3 => self.kill_gateway("wiped"),
            4 => self.restart_gateway(),
            5 => self.pause_gateway(300..3_000),
            6 => self.restart_engine(),
            7 => self.drain(),
            8 => {
                let (at, lasts) = (self.time(), self.lasts(500..3_000));
                self.put(at, "bulletin down".into());
                self.put(at + lasts, "bulletin up".into());
            }
            9 => {
                let (at, near) = (self.time(), self.gateway());
                self.put(at, format!("link-reset {near} engines"));
            }
            _ => self.link(),
        }
    }

    /// One loss of power; some seeds lose it again while parts return, some have a gateway without
    /// its directory, with an old one, or that comes late.
    pub(super) fn power(&mut self) {
        let at = self.lasts(self.from..self.from + (self.until - self.from) / 3);
        let mut back = at + self.lasts(500..2_000);
        self.put(at, "power-loss".into());
        if self.rng.random_bool(0.3) {
            let within = self.lasts(500..2_000);
            self.put(back, format!("power-back all within {within}ms"));
            let again = back + within + self.lasts(100..1_000);
            self.put(again, "power-loss".into());
            back = again + self.lasts(500..1_500);
        }
        let gateways = self.gateways.clone();
        if let Some(name) = gateways
            .choose(&mut self.rng)
            .filter(|_| self.rng.random_bool(0.4))
        {
            self.put(back - 100, format!("wipe-directory {name}"));
        }
        if let Some(name) = gateways
            .choose(&mut self.rng)
            .filter(|_| self.rng.random_bool(0.4))
        {
            self.put(self.from / 2, format!("save-directory {name}"));
            self.put(back - 90, format!("put-back-directory {name}"));
        }
        let within = self.lasts(500..2_000);
        let late = gateways
            .choose(&mut self.rng)
            .filter(|_| self.rng.random_bool(0.4))
            .cloned();
        let Some(late) = late else {
            return self.put(back, format!("power-back all within {within}ms"));
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
        self.put(
            back,
            format!("power-back {} within {within}ms", others.join(" ")),
        );
        let after = back + within + self.lasts(1_000..3_000);
        self.put(after, format!("start-gateway {late}"));
    }
}
