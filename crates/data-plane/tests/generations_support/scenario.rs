//! Random scenarios with many faults, generated from a seed.

use std::collections::BTreeMap;

use orchidvalve_data_plane::generations::{Assignment, AttemptId, AttemptOutcome, ItemResult, RewardOutcome};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::*;

/// The id of the last event of every text.
const LAST_EVENT: u64 = 6;
const SERVERS: u32 = 14;
pub const GROUPS: u32 = 5;
pub const STEPS: u32 = 1_500;

/// An attempt at a server: the id of its next event and the version that generates it.
struct RunningAttempt {
    attempt: Attempted,
    next: u64,
    version: Option<u64>,
}

pub struct Scenario {
    pub gateway: Gateway,
    random: Pcg64Mcg,
    versions: Vec<u64>,
    running: BTreeMap<AttemptId, RunningAttempt>,
    seen_attempts: usize,
    seen_rewards: usize,
    rewards: Vec<RewardAttempt>,
}

impl Scenario {
    pub fn new(seed: u64, single: bool) -> Self {
        Self::with_random(Pcg64Mcg::seed_from_u64(seed), single)
    }

    pub fn with_random(random: Pcg64Mcg, single: bool) -> Self {
        let versions = vec![7; SERVERS as usize];
        let mut gateway = Gateway::new(&versions);
        for index in 0..GROUPS {
            let ids: Vec<String> = (0..4).map(|item| format!("{index}-{item}")).collect();
            let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
            let assignment: Assignment = scored(group("job", index, &ids));
            gateway.assign(if single { single_version(assignment) } else { assignment });
        }
        Self {
            gateway,
            random,
            versions,
            running: BTreeMap::new(),
            seen_attempts: 0,
            seen_rewards: 0,
            rewards: vec![],
        }
    }

    pub fn step(&mut self) {
        self.perform_action();
        self.check();
    }

    /// Performs one random action.
    pub fn perform_action(&mut self) {
        self.collect_attempts();
        match self.random.random_range(0..100) {
            0..60 => self.advance_attempt(),
            60..75 => self.respond_to_reward(),
            75..77 => self.change_version(),
            77..95 => {
                let ms = self.random.random_range(0..60);
                self.gateway.advance(ms);
            }
            _ => self.fail_attempt(),
        }
    }

    pub fn collect_attempts(&mut self) {
        for attempt in &self.gateway.attempts[self.seen_attempts..] {
            let next = attempt.last_event_id.map_or(1, |last| last + 1);
            self.running.insert(attempt.id, RunningAttempt { attempt: attempt.clone(), next, version: None });
        }
        self.seen_attempts = self.gateway.attempts.len();
        self.rewards.extend(self.gateway.rewards[self.seen_rewards..].iter().cloned());
        self.seen_rewards = self.gateway.rewards.len();
        for id in &self.gateway.cancelled {
            self.running.remove(id);
        }
    }

    fn random_attempt(&mut self) -> Option<AttemptId> {
        let attempts: Vec<AttemptId> = self.running.keys().copied().collect();
        attempts.choose(&mut self.random).copied()
    }

    /// Continues an attempt normally: head, events, end.
    fn advance_attempt(&mut self) {
        let Some(id) = self.random_attempt() else { return };
        let Some(running) = self.running.get_mut(&id) else { return };
        let held = self.versions[running.attempt.server.0 as usize];
        match running.version {
            None if running.attempt.expect_version != Some(held) => {
                let stated_version = self.random.random_bool(0.5).then_some(held);
                let outcome = AttemptOutcome::Status {
                    code: 421,
                    not_executed: true,
                    retry_after_ms: None,
                    version: stated_version,
                };
                let running = self.running.remove(&id).expect("the attempt is running");
                self.gateway.ended(&running.attempt, outcome);
            }
            None => {
                running.version = Some(held);
                let attempt = running.attempt.clone();
                self.gateway.started(&attempt, held);
            }
            Some(_) if running.next > LAST_EVENT => {
                let running = self.running.remove(&id).expect("the attempt is running");
                self.gateway.ended(&running.attempt, AttemptOutcome::Complete);
            }
            Some(known) => {
                running.version = Some(held);
                let (attempt, id) = (running.attempt.clone(), running.next);
                running.next += 1;
                self.gateway.event(&attempt, id, &format!("e{id}@{held}"), (known != held).then_some(held));
            }
        }
    }

    /// Makes one attempt fail in a random way.
    fn fail_attempt(&mut self) {
        let Some(id) = self.random_attempt() else { return };
        let Some(running) = self.running.remove(&id) else { return };
        match self.random.random_range(0..8) {
            0 => self.gateway.ended(&running.attempt, AttemptOutcome::Broken),
            1 => self.gateway.ended(&running.attempt, AttemptOutcome::ConnectFailed),
            2 => self.gateway.status(&running.attempt, 503),
            3 => self.gateway.status(&running.attempt, 502),
            4 if running.version.is_some() => {
                self.gateway.event(&running.attempt, running.next + 1, "skipped", None);
            }
            5 if running.version.is_some() && running.next > 2 => {
                self.gateway.event(&running.attempt, running.next - 1, "twice", None);
            }
            // The attempt stalls.
            6 => {}
            _ => self.gateway.status(&running.attempt, 429),
        }
    }

    fn respond_to_reward(&mut self) {
        if self.rewards.is_empty() {
            return;
        }
        let call = self.rewards.swap_remove(self.random.random_range(0..self.rewards.len()));
        match self.random.random_range(0..5) {
            0 => self.gateway.reward_ended(&call, RewardOutcome::Broken),
            1 => self.gateway.reward_status(&call, 503),
            _ => self.gateway.reward_status(&call, 200),
        }
    }

    /// Updates the weights of a server. The server table shows the new version at once or later.
    fn change_version(&mut self) {
        let key = self.random.random_range(0..SERVERS);
        let version = &mut self.versions[key as usize];
        *version += 1;
        if self.random.random_bool(0.5) {
            self.gateway.runner.set_server(&server(key, *version));
        }
    }

    fn check(&mut self) {
        let mut in_flight: BTreeMap<&str, usize> = BTreeMap::new();
        let cancelled = &self.gateway.cancelled;
        for running in self.running.values().filter(|running| !cancelled.contains(&running.attempt.id)) {
            *in_flight.entry(&running.attempt.item).or_default() += 1;
        }
        assert!(in_flight.values().all(|count| *count <= 2), "more than two at once");
        for (item, _) in &self.gateway.reports {
            assert!(!in_flight.contains_key(item.as_str()), "{item} still runs after its result");
        }
    }

    pub fn check_results(&self, single: bool) {
        let mut items: Vec<&str> = self.gateway.reports.iter().map(|(item, _)| item.as_str()).collect();
        items.sort_unstable();
        items.dedup();
        assert_eq!(items.len(), self.gateway.reports.len(), "an item was reported twice");
        for (item, result) in &self.gateway.reports {
            let ItemResult::Completed { message, weight_versions, score } = result else {
                panic!("{item} expired without a reason")
            };
            assert!(score.is_some());
            check_text(&String::from_utf8_lossy(message), weight_versions, single);
        }
    }
}

/// Checks that the text contains every event once, and that its versions are those that generated its events.
fn check_text(text: &str, versions: &[u64], single: bool) {
    let mut generated_by = Vec::new();
    let mut events = 0;
    for (line, id) in text.lines().zip(1..) {
        let (event, version) = line.split_once('@').expect("an event of this test");
        assert_eq!(event, format!("e{id}"), "{text}");
        generated_by.push(version.parse::<u64>().expect("a number"));
        events = id;
    }
    assert_eq!(events, LAST_EVENT, "{text}");
    generated_by.sort_unstable();
    generated_by.dedup();
    assert_eq!(generated_by, versions);
    assert!(versions.iter().all(|version| *version >= MINIMUM) && (!single || versions.len() == 1));
}
