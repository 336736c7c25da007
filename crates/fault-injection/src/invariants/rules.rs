//! The checks of the six rules.

use std::collections::BTreeSet;

use super::observed::{AttemptName, ObservedAttempt, QueryEnd, describe};
use super::{BudgetEvent, InvariantChecker, Violation};
use crate::scenario::{Effect, ms};
use crate::store_model::Overload;
use crate::{MS, Nanos};

/// Fractions that differ by less than this are considered equal.
const ROUNDING: f64 = 1e-9;

/// One aspect of a rule: the rule's number and the published name of the aspect in reports.
#[derive(Clone, Copy)]
struct Rule {
    number: u8,
    name: &'static str,
}

const ONE_ANSWER: Rule = Rule { number: 1, name: "one final answer in time" };
const NOTHING_AFTER_ANSWER: Rule = Rule { number: 1, name: "no part after the answer" };
const NO_EFFECT_TWICE: Rule = Rule { number: 2, name: "no effect twice" };
const NO_FALSE_REJECTION: Rule = Rule { number: 2, name: "no effectful dismissal after a launch" };
const NO_EFFECT_CANCELLED: Rule = Rule { number: 2, name: "no effectful part called off" };
const NOTHING_TO_CLOSED: Rule = Rule { number: 3, name: "nothing new to a closed store" };
const NO_OVERLOAD: Rule = Rule { number: 4, name: "no cold store pushed over" };
const HONEST: Rule = Rule { number: 5, name: "honest answers" };
const WITHIN_CAP: Rule = Rule { number: 6, name: "launches within the cap" };
const WITHIN_BUDGET: Rule = Rule { number: 6, name: "further launches within budget" };

/// The query, shard and store that a violation concerns.
#[derive(Clone, Copy, Default)]
struct Subject<'a> {
    query: Option<&'a str>,
    shard: Option<usize>,
    store: Option<&'a str>,
}

impl<'a> Subject<'a> {
    fn query(id: &'a str) -> Subject<'a> {
        Subject { query: Some(id), ..Subject::default() }
    }

    fn attempt(attempt: AttemptName<'a>) -> Subject<'a> {
        let AttemptName { query, shard, store } = attempt;
        Subject { query: Some(query), shard: Some(shard), store: Some(store) }
    }
}

impl InvariantChecker {
    fn violated(&mut self, rule: Rule, at: Nanos, subject: Subject, proof: Vec<String>) {
        let Rule { number, name } = rule;
        let (query, store) = (subject.query.map(str::to_owned), subject.store.map(str::to_owned));
        let (shard, at_ms) = (subject.shard, at / MS);
        self.violations.push(Violation { rule: number, name, query, shard, store, at_ms, proof });
    }

    fn slack(&self) -> Nanos {
        ms(self.rules.slack_ms)
    }

    /// Rule 1: a query receives exactly one final response, before its deadline.
    pub(super) fn check_final_response(&mut self, at: Nanos, id: &str, status: u16) {
        let slack = self.slack();
        let Some(query) = self.queries.get_mut(id) else {
            let proof = vec![format!("answered {status} at {} ms, and nobody asked", at / MS)];
            return self.violated(ONE_ANSWER, at, Subject::query(id), proof);
        };
        let (first, until) = (query.end, query.until);
        query.end.get_or_insert(QueryEnd { at, status: (status > 0).then_some(status) });
        if let Some(end) = first {
            let proof = vec![
                format!("answered {} at {} ms", end.status.unwrap_or(0), end.at / MS),
                format!("and {status} at {} ms", at / MS),
            ];
            self.violated(ONE_ANSWER, at, Subject::query(id), proof);
        } else if at > until + slack {
            let proof =
                vec![format!("its time was up at {} ms, answered {status} at {} ms", until / MS, at / MS)];
            self.violated(ONE_ANSWER, at, Subject::query(id), proof);
        }
    }

    /// Rule 1: every query receives a response.
    pub(super) fn check_all_answered(&mut self, at: Nanos) {
        let slack = self.slack();
        let open = self.queries.iter().filter(|(_, q)| q.end.is_none() && at > q.until + slack);
        let open: Vec<(String, Nanos, Nanos)> =
            open.map(|(id, query)| (id.clone(), query.sent_at, query.until)).collect();
        for (id, sent_at, until) in open {
            let proof = vec![format!("asked at {} ms, its time was up at {} ms", sent_at / MS, until / MS)];
            self.violated(ONE_ANSWER, at, Subject::query(&id), proof);
        }
    }

    /// Rule 1: no attempt is sent after the response, nor for a query or shard that no client requested.
    pub(super) fn check_after_end(&mut self, at: Nanos, attempt: AttemptName) {
        let slack = self.slack();
        let proof = match self.queries.get(attempt.query) {
            None => vec![format!("attempted at {} ms, and nobody asked", at / MS)],
            Some(query) if !query.shards.contains(&attempt.shard) => {
                vec![format!("asked for shards {:?} only", query.shards)]
            }
            Some(query) => match query.end {
                // An attempt that was in transit when the query ended is received a little later.
                Some(QueryEnd { at: ended, status: Some(status) }) if at > ended + slack => vec![
                    format!("answered {status} at {} ms", ended / MS),
                    format!("attempted at {} ms", at / MS),
                ],
                _ => return,
            },
        };
        self.violated(NOTHING_AFTER_ANSWER, at, Subject::attempt(attempt), proof);
    }

    /// Rule 2: effectful shard requests are attempted again only if no earlier attempt was executed; receipted ones
    /// only within the window and with the query's idempotency key.
    pub(super) fn check_repeated(&mut self, at: Nanos, attempt: AttemptName, key: Option<&str>) {
        let Some(query) = self.queries.get(attempt.query) else { return };
        let class = self.classes[query.class];
        let earlier = query.attempts_of(attempt.shard);
        let first_run = earlier.iter().find(|earlier| earlier.may_have_run());
        let window_is_over = |first: &ObservedAttempt| at > first.at + class.window + ms(self.rules.slack_ms);
        let reason = match class.effect {
            Effect::Effectful if first_run.is_some() => format!("attempted again at {} ms", at / MS),
            Effect::Receipted if key != query.key.as_deref() => {
                format!("attempted under the key {key:?}, asked under {:?}", query.key)
            }
            Effect::Receipted if first_run.is_some_and(window_is_over) => {
                format!("attempted again at {} ms, the window is {} ms", at / MS, class.window / MS)
            }
            _ => return,
        };
        let mut proof = describe(earlier);
        proof.push(reason);
        self.violated(NO_EFFECT_TWICE, at, Subject::attempt(attempt), proof);
    }

    /// Rule 2: an effectful query is rejected only if none of its attempts may have been executed.
    pub(super) fn check_rejection(&mut self, at: Nanos, id: &str, status: u16) {
        if status != 429 && status != 503 {
            return;
        }
        let Some(query) = self.queries.get(id) else { return };
        let ran: Vec<&ObservedAttempt> =
            query.attempts.values().flatten().filter(|attempt| attempt.may_have_run()).collect();
        if self.classes[query.class].effect == Effect::Effectful && !ran.is_empty() {
            let mut proof = describe(ran);
            proof.push(format!("rejected at {} ms", at / MS));
            self.violated(NO_FALSE_REJECTION, at, Subject::query(id), proof);
        }
    }

    /// Rule 2: the only attempt of an effectful shard request is not cancelled while its query is open.
    pub(super) fn check_cancel(&mut self, at: Nanos, attempt: AttemptName) {
        let Some(query) = self.queries.get(attempt.query) else { return };
        let is_open = query.end.is_none() && at < query.until - self.slack();
        let is_alone = query.attempts_of(attempt.shard).len() == 1;
        if self.classes[query.class].effect == Effect::Effectful && is_open && is_alone {
            let proof = vec![format!("cancelled at {} ms while it was open", at / MS)];
            self.violated(NO_EFFECT_CANCELLED, at, Subject::attempt(attempt), proof);
        }
    }

    /// Rule 3: a store that discovery closed receives no new attempts after the grace period.
    pub(super) fn check_closed(&mut self, at: Nanos, attempt: AttemptName) {
        let Some(&closed) = self.closed.get(attempt.store) else { return };
        // A front node that was restarted later knows the closed store from its start. While discovery is unresponsive,
        // front nodes learn of a closed store later, which is no violation.
        let started =
            self.queries.get(attempt.query).and_then(|query| self.front_node_started.get(&query.front_node));
        let known_since = closed.max(started.copied().unwrap_or(closed));
        if !self.discovery_is_unresponsive && at > known_since + ms(self.rules.grace_ms) + self.slack() {
            let proof = vec![
                format!("discovery told of it at {} ms", closed / MS),
                format!("attempted at {} ms, {} ms later", at / MS, (at - known_since) / MS),
            ];
            self.violated(NOTHING_TO_CLOSED, at, Subject::attempt(attempt), proof);
        }
    }

    /// Rule 4: front nodes that know the start of a store from discovery do not overload it while it warms up.
    pub(super) fn check_overload(&mut self, at: Nanos, store: &str, overload: &Overload) {
        if !self.started.contains_key(store) {
            return;
        }
        let Overload { requests, limit, by_front_node } = overload;
        let mut proof = vec![format!("{requests} shard requests in the window, {limit} at most")];
        proof.extend(by_front_node.iter().map(|(n, count)| format!("{count} of them from front node {n}")));
        let subject = Subject { store: Some(store), ..Subject::default() };
        self.violated(NO_OVERLOAD, at, subject, proof);
    }

    /// Rule 5: the values of a response come from stores, the response reaches the minimum completeness of its service
    /// class, and a response that is marked complete is complete.
    pub(super) fn check_response_content(
        &mut self,
        at: Nanos,
        id: &str,
        status: u16,
        complete: bool,
        parts: &[(usize, String)],
    ) {
        let Some(query) = self.queries.get(id).filter(|_| status == 200) else { return };
        let min_completeness = self.classes[query.class].min_completeness;
        let answered: BTreeSet<usize> = parts.iter().map(|(shard, _)| *shard).collect();
        let mut proof = Vec::new();
        for (shard, value) in parts {
            let served = self.values.get(&(id.to_owned(), *shard)).is_some_and(|v| v.contains(value));
            if !served {
                proof.push(format!("shard {shard} has {value}, which no store served"));
            }
        }
        if answered.len() != parts.len() {
            proof.push("a shard stands in it twice".to_owned());
        }
        let wanted = query.shards.len();
        let completeness =
            answered.iter().filter(|s| query.shards.contains(s)).count() as f64 / wanted.max(1) as f64;
        if completeness + ROUNDING < min_completeness {
            proof.push(format!("answered with {completeness:.2} of it, {min_completeness:.2} is the least"));
        }
        if complete && completeness < 1.0 - ROUNDING {
            proof.push(format!("called whole with {} of {wanted} shards", answered.len()));
        }
        if !proof.is_empty() {
            self.violated(HONEST, at, Subject::query(id), proof);
        }
    }

    /// Rule 6: a shard request has no more attempts than the cap.
    pub(super) fn check_cap(&mut self, at: Nanos, attempt: AttemptName) {
        let Some(query) = self.queries.get(attempt.query) else { return };
        let (earlier, cap) = (query.attempts_of(attempt.shard), self.rules.attempts_cap);
        if earlier.len() >= cap {
            let mut proof = describe(earlier);
            proof.push(format!("attempted at {} ms, {cap} are the most", at / MS));
            self.violated(WITHIN_CAP, at, Subject::attempt(attempt), proof);
        }
    }

    /// Rule 6: a front node sends further attempts within its budget, if the scenario sets one.
    pub(super) fn check_budget(&mut self, at: Nanos, front_node: usize, attempt: AttemptName) {
        let Some(reserve) = self.rules.further_free else { return };
        let window = ms(self.rules.further_window_ms) + self.slack();
        let recent = self.budgets.entry(front_node).or_default();
        recent.push_back((at, BudgetEvent::FurtherAttempt));
        while recent.front().is_some_and(|(then, _)| at - then > window) {
            recent.pop_front();
        }
        let further = recent.iter().filter(|(_, event)| *event == BudgetEvent::FurtherAttempt).count();
        let most = reserve + self.rules.further_share * (recent.len() - further) as f64;
        if further as f64 > most {
            let proof = vec![format!(
                "{further} further attempts of front node {front_node} in the window, {most:.1} at most"
            )];
            self.violated(WITHIN_BUDGET, at, Subject::attempt(attempt), proof);
        }
    }
}
