//! Leases (Gray and Cheriton 1989) of fleet-wide budgets. A budget is divided among the front nodes: each has a base
//! share, lends what it does not use to peers that request it, and borrows for a limited time when its own demand
//! exceeds its allowance. This module reads no clock and sends nothing: the caller passes in the time and sends the
//! messages.
//!
//! To prevent overshoot, the lender counts a lease from its grant until its duration and a guard time have passed,
//! and the borrower counts it from its *request* until its duration, shortened by the clock drift, has passed. The
//! borrower's interval then lies within the lender's whatever the delay of the messages, so the sum of all allowances
//! never exceeds the sum of the base shares. The base shares sum to at most the total as long as every node counts at
//! least as many members as are alive. The total can only be exceeded if that fails, or if a lender's clock steps
//! forward.

use std::collections::BTreeMap;

use crate::{Nanos, Peer};

/// Number of a lease request, unique per node.
pub type RequestNumber = u32;

/// Identifies a budget by a family defined by the host (such as attempts at a warming server, or the rate of a
/// tenant) and a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BudgetKey {
    /// The kind of budget.
    pub family: u8,
    /// The subject within the family.
    pub subject: u64,
}

/// Settings of leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// Duration of a lease, as granted by the lender.
    pub duration: Nanos,
    /// The largest relative drift between the clocks of two nodes, as a fraction of the elapsed time.
    pub drift: f64,
    /// Fraction of its unused budget that a lender grants to one request. The rest remains for others.
    pub lend_share: f64,
    /// A lease is renewed when less than this fraction of its duration is left.
    pub renew_at: f64,
    /// The number of peers that a request is sent to.
    pub peers_per_request: usize,
    /// How long to wait for the grants of a request before the next one is sent. A lost grant must not delay the next
    /// request for long, and requests must not be sent faster than peers respond.
    pub answer_timeout: Nanos,
    /// The number of budgets kept at once. Beyond it the one whose demand was set least recently is dropped.
    pub max_budgets: usize,
    /// The number of leases that a lender keeps at once, over all budgets.
    pub max_lent: usize,
}

impl LeaseSettings {
    /// Returns the time that the lender adds to the duration of a lease: enough for the borrower's clock to run slow by
    /// `drift` and the lender's to run fast by `drift`, and one millisecond for rounding.
    pub fn guard(&self) -> Nanos {
        (self.duration as f64 * 2.0 * self.drift) as Nanos + 1_000_000
    }

    /// Returns how long the borrower counts a lease, from the time of its request.
    pub fn borrowed_for(&self) -> Nanos {
        (self.duration as f64 * (1.0 - self.drift)) as Nanos
    }
}

/// A lease as recorded by its lender.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LentLease {
    /// The node that holds it.
    pub borrower: Peer,
    /// Number of the borrower's request.
    pub request: RequestNumber,
    /// Units per second.
    pub amount: f64,
    /// When the lender stops counting it.
    pub until: Nanos,
}

/// A lease as recorded by its borrower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BorrowedLease {
    /// The node that granted it.
    pub lender: Peer,
    /// Number of the request that it answers.
    pub request: RequestNumber,
    /// Units per second.
    pub amount: f64,
    /// When the borrower stops counting it.
    pub until: Nanos,
}

/// The last lease request for a budget.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingRequest {
    /// Number of the request.
    pub number: RequestNumber,
    /// When it was sent.
    pub sent_at: Nanos,
    /// Peers that have not responded.
    pub unanswered: Vec<Peer>,
}

/// A node's state of one budget.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    /// The budget of the whole fleet, in units per second, as last set.
    pub total: f64,
    /// This node's demand, in units per second.
    pub demand: f64,
    /// When the demand was last set.
    pub demanded_at: Nanos,
    /// Leases that this node has granted.
    pub lent: Vec<LentLease>,
    /// Leases that this node holds.
    pub borrowed: Vec<BorrowedLease>,
    /// The last request; `None` before the first one.
    pub pending: Option<PendingRequest>,
}

/// Request for a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseRequest {
    /// The budget.
    pub key: BudgetKey,
    /// The budget of the whole fleet, in units per second.
    pub total: f64,
    /// Requested units per second.
    pub amount: f64,
    /// Number of the request, unique per sender.
    pub number: RequestNumber,
}

/// Response to a lease request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseGrant {
    /// The budget.
    pub key: BudgetKey,
    /// Number of the request that it answers.
    pub request: RequestNumber,
    /// Granted units per second; 0 for a refusal.
    pub amount: f64,
    /// Duration from the request on. The borrower subtracts the clock drift.
    pub duration: Nanos,
}

/// Receives the lease messages to send.
pub trait LeaseMessages {
    /// Sends a request.
    fn request(&mut self, to: Peer, request: LeaseRequest);
    /// Sends a grant.
    fn grant(&mut self, to: Peer, grant: LeaseGrant);
}

/// Why a grant was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantError {
    /// No request with that number was sent to the peer, or it was answered before.
    NotRequested,
    /// The grant arrived after it had expired.
    Late,
}

/// The budgets of one node.
#[derive(Clone, Debug)]
pub struct Leases {
    /// Settings of leases.
    pub settings: LeaseSettings,
    /// State of each budget.
    pub budgets: BTreeMap<BudgetKey, Budget>,
    next_request: RequestNumber,
}

impl Leases {
    /// Returns a state without budgets.
    pub fn new(settings: LeaseSettings) -> Leases {
        Leases { settings, budgets: BTreeMap::new(), next_request: 1 }
    }

    /// Returns the base share of a node that counts `members` front nodes, including itself.
    pub fn base_share(total: f64, members: usize) -> f64 {
        total / members.max(1) as f64
    }

    /// Returns the units per second that this node may use now.
    pub fn allowance(&self, key: BudgetKey, members: usize, now: Nanos) -> f64 {
        self.budgets.get(&key).map_or(0.0, |budget| {
            let base = Leases::base_share(budget.total, members);
            (base + sum_borrowed(&budget.borrowed, now) - sum_lent(&budget.lent, now)).max(0.0)
        })
    }

    /// Sets this node's demand for a budget, in units per second.
    pub fn set_demand(&mut self, key: BudgetKey, total: f64, demand: f64, now: Nanos) {
        let budget = self.budget(key, total, now);
        (budget.demand, budget.demanded_at) = (demand.max(0.0), now);
    }

    fn budget(&mut self, key: BudgetKey, total: f64, now: Nanos) -> &mut Budget {
        if !self.budgets.contains_key(&key) && self.budgets.len() >= self.settings.max_budgets {
            // The budget whose demand was set least recently is dropped. One with granted leases stays, or they would
            // be forgotten while they are in use.
            let idle = self.budgets.iter().filter(|(_, budget)| sum_lent(&budget.lent, now) == 0.0);
            let oldest = idle.min_by_key(|(_, budget)| budget.demanded_at).map(|(key, _)| *key);
            if let Some(oldest) = oldest {
                self.budgets.remove(&oldest);
            }
        }
        let budget = self.budgets.entry(key).or_default();
        budget.total = total.max(0.0);
        budget
    }

    /// Handles a lease request: grants a fraction of this node's unused budget. A repeated request gets the same grant.
    pub fn request_received(
        &mut self,
        from: Peer,
        request: LeaseRequest,
        members: usize,
        now: Nanos,
        messages: &mut dyn LeaseMessages,
    ) {
        let settings = self.settings;
        let lent_leases: usize = self.budgets.values().map(|budget| budget.lent.len()).sum();
        let budget = self.budget(request.key, request.total, now);
        budget.lent.retain(|lease| lease.until > now);
        let grant =
            |amount, duration| LeaseGrant { key: request.key, request: request.number, amount, duration };
        let is_known = |lease: &&LentLease| lease.borrower == from && lease.request == request.number;
        if let Some(lease) = budget.lent.iter().find(is_known) {
            // A duplicate of a request, or a repetition after a lost grant, gets the same grant, and nothing more is
            // lent.
            let remaining = (lease.until - now - settings.guard()).clamp(0, settings.duration);
            messages.grant(from, grant(lease.amount, remaining));
            return;
        }
        let base = Leases::base_share(budget.total, members);
        // A node keeps what it needs itself, up to its base share.
        let spare = base - sum_lent(&budget.lent, now) - budget.demand.min(base);
        let amount = (spare * settings.lend_share).min(request.amount).max(0.0);
        if amount <= 0.0 || lent_leases >= settings.max_lent {
            messages.grant(from, grant(0.0, 0));
            return;
        }
        let until = now + settings.duration + settings.guard();
        budget.lent.push(LentLease { borrower: from, request: request.number, amount, until });
        messages.grant(from, grant(amount, settings.duration));
    }

    /// Handles a grant. It counts from the time of its request, and only once.
    ///
    /// # Errors
    /// If the grant was not requested, was received before, or has expired.
    pub fn grant_received(&mut self, from: Peer, grant: LeaseGrant, now: Nanos) -> Result<(), GrantError> {
        let settings = self.settings;
        let budget = self.budgets.get_mut(&grant.key).ok_or(GrantError::NotRequested)?;
        let pending = budget.pending.as_mut().filter(|pending| pending.number == grant.request);
        let pending = pending.ok_or(GrantError::NotRequested)?;
        let position = pending.unanswered.iter().position(|peer| *peer == from);
        pending.unanswered.swap_remove(position.ok_or(GrantError::NotRequested)?);
        let duration = (grant.duration.min(settings.duration) as f64 * (1.0 - settings.drift)) as Nanos;
        let until = pending.sent_at + duration;
        if until <= now {
            return Err(GrantError::Late);
        }
        if grant.amount > 0.0 {
            let (request, amount) = (grant.request, grant.amount);
            budget.borrowed.push(BorrowedLease { lender: from, request, amount, until });
        }
        Ok(())
    }

    /// Drops ended leases, and requests leases if the demand exceeds the allowance or leases end soon. `peers` are
    /// the live peers in random order.
    pub fn step(&mut self, members: usize, peers: &[Peer], now: Nanos, messages: &mut dyn LeaseMessages) {
        let settings = self.settings;
        for (&key, budget) in &mut self.budgets {
            budget.lent.retain(|lease| lease.until > now);
            budget.borrowed.retain(|lease| lease.until > now);
            let base = Leases::base_share(budget.total, members);
            let renew_before = now + (settings.duration as f64 * settings.renew_at) as Nanos;
            let not_due_for_renewal = budget.borrowed.iter().filter(|lease| lease.until > renew_before);
            let borrowed: f64 = not_due_for_renewal.map(|lease| lease.amount).sum();
            let shortfall = budget.demand - (base - sum_lent(&budget.lent, now) + borrowed);
            // One request at a time: the next is sent when all peers have responded, or after the time-out.
            let is_waiting = budget.pending.as_ref().is_some_and(|pending| {
                !pending.unanswered.is_empty() && now - pending.sent_at < settings.answer_timeout
            });
            if shortfall <= 1e-9 || is_waiting || peers.is_empty() {
                continue;
            }
            let number = self.next_request;
            self.next_request = self.next_request.wrapping_add(1).max(1);
            let lenders: Vec<Peer> = peers.iter().copied().take(settings.peers_per_request.max(1)).collect();
            let amount = shortfall / lenders.len() as f64;
            for &lender in &lenders {
                messages.request(lender, LeaseRequest { key, total: budget.total, amount, number });
            }
            budget.pending = Some(PendingRequest { number, sent_at: now, unanswered: lenders });
        }
    }

    /// Handles the failure of a peer. Leases that it granted are dropped. Leases that it holds still count until they
    /// end, as it may still use them.
    pub fn peer_down(&mut self, peer: Peer) {
        for budget in self.budgets.values_mut() {
            budget.borrowed.retain(|lease| lease.lender != peer);
        }
    }

    /// Returns the units lent to and borrowed from peers, over all budgets.
    pub fn totals(&self, now: Nanos) -> LeaseTotals {
        LeaseTotals {
            lent: self.budgets.values().map(|budget| sum_lent(&budget.lent, now)).sum(),
            borrowed: self.budgets.values().map(|budget| sum_borrowed(&budget.borrowed, now)).sum(),
        }
    }
}

/// Units per second that a node has lent and borrowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTotals {
    /// Lent to peers.
    pub lent: f64,
    /// Borrowed from peers.
    pub borrowed: f64,
}

fn sum_lent(leases: &[LentLease], now: Nanos) -> f64 {
    leases.iter().filter(|lease| lease.until > now).map(|lease| lease.amount).sum()
}

fn sum_borrowed(leases: &[BorrowedLease], now: Nanos) -> f64 {
    leases.iter().filter(|lease| lease.until > now).map(|lease| lease.amount).sum()
}
