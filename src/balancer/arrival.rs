//! A request is taken: what it is held to need, until when, and what it adds to what is known of
//! the traffic.

use super::*;

impl Balancer {
    #[expect(clippy::too_many_lines, reason = "to be divided by concern")]
    pub(super) fn take(&mut self, req: Request) {
        let class = self.set.classes[req.class].clone();
        let known = &self.learned[req.class];
        let usual = if known.work > 0.0 {
            known.work
        } else {
            class.latency_objective as f64 * class.threads / 2.0
        };
        let work = req
            .work
            .map_or(usual, |estimate| estimate * known.work_ratio);
        let memory = req
            .memory_mb
            .map_or(known.memory.unwrap_or(0.0), |mb| mb * known.memory_ratio);
        let (id, class_id, group, ideal) = (req.id, req.class, req.group, work / class.threads);
        // Early, so that the answer is in the client's hands in time, also where both were held up.
        let margin = 2 * self.set.tick
            + (ANSWER_MARGIN * req.deadline.saturating_sub(self.now) as f64) as Micros;
        let end_by = req.deadline.saturating_sub(margin).max(self.now);
        // A client may be less patient than its class: after it has gone, the aim is worth nothing.
        let due = (self.now
            + class.latency_objective
            + (class.latency_objective_per_work * ideal) as Micros)
            .min(end_by);
        let worth = class.priority_weight
            * if self.within_share(req.tenant) {
                1.0
            } else {
                self.set.over_quota_weight
            };
        if let Some(key) = req.key.as_ref().filter(|_| class.ordered) {
            self.keys
                .entry(key.clone())
                .or_default()
                .0
                .push_back(req.id);
        }
        self.traffic.taken.push_back(self.now);
        self.actions.push(Action::SetTimer {
            after: end_by - self.now,
            tag: end_tag(req.id),
        });
        self.queue.insert((due, req.id), req.class);
        let held = Held {
            req,
            work,
            ideal,
            memory,
            due,
            end_by,
            priority_weight: worth,
            ..Default::default()
        };
        let over = !self.may_repeat(&held); // It may have run before, when or where none may repeat it
        self.requests.insert(id, held);
        // Work that cannot end in time only holds what others need, for long where no cancel is
        // heeded.
        if over || self.now as f64 + ideal > end_by as f64 {
            return self.end(id, 0);
        }
        let known = &mut self.learned[class_id].work;
        *known = if *known > 0.0 {
            *known + LEARN * (work - *known)
        } else {
            work
        };
        self.count(group, work, ideal, memory);
        self.draw(id);
        self.choose(id)
            .into_iter()
            .for_each(|engine| self.send(id, engine));
    }

    /// Each arrival adds to what is known of the traffic, and pays for probes and draws.
    pub(super) fn count(&mut self, group: u64, work: f64, ideal: f64, memory: f64) {
        let seen = &mut self.traffic;
        seen.arrivals += 1.0;
        let weight = (LEARN / 2.0).max(1.0 / seen.arrivals);
        seen.gap += weight * ((self.now - seen.last) as f64 - seen.gap);
        seen.last = self.now;
        seen.work += weight * (work - seen.work);
        seen.ideal += weight * (ideal - seen.ideal);
        seen.hold += weight * (ideal * memory - seen.hold);
        let (count, at) = seen.groups.entry(group).or_insert((0.0, seen.arrivals));
        *count = 1.0 + *count * ((*at - seen.arrivals) / GROUP_MEMORY).exp();
        *at = seen.arrivals;
        seen.probes =
            SAVED.min(seen.probes + (PROBE_SPEND / self.set.probe_tariff).min(2.0 * ASKED as f64));
        seen.redraws = (seen.redraws + REDRAWS).min(SAVED);
    }

    /// A tenant's own bucket on this gateway, filled at its quota over the gateways, one second
    /// deep.
    pub(super) fn within_share(&mut self, tenant: usize) -> bool {
        let Some(set) = self.set.tenants.get(tenant) else {
            return true;
        };
        let quota = set.quota_per_s / self.set.peers;
        let (tokens, filled) = &mut self.tokens[tenant];
        *tokens = (*tokens + quota * (self.now - *filled) as f64 / 1e6).min(quota.max(1.0));
        *filled = self.now;
        let within = *tokens >= 1.0;
        *tokens -= if within { 1.0 } else { 0.0 };
        within
    }

    pub(super) fn is_dashboard(&self, class: usize) -> bool {
        !self.set.classes[class].is_load
            && self.learned[class].work < DASHBOARD_WORK * self.traffic.work
    }
}
