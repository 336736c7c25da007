//! Times of recently received and sent requests, for rates and budgets.

use std::collections::VecDeque;

use crate::interface::Nanos;

/// Recent points in time, oldest first.
#[derive(Clone, Debug, Default)]
pub struct RecentTimes(VecDeque<Nanos>);

impl RecentTimes {
    pub(super) fn push(&mut self, at: Nanos) {
        self.0.push_back(at);
    }

    /// Returns the number of times after `since`.
    pub fn count_after(&self, since: Nanos) -> usize {
        self.0.iter().rev().take_while(|&&at| at > since).count()
    }

    fn forget_before(&mut self, before: Nanos) {
        while self.0.front().is_some_and(|&at| at < before) {
            self.0.pop_front();
        }
    }
}

/// Times of recently received and sent requests.
#[derive(Clone, Debug, Default)]
pub struct RecentTraffic {
    /// When queries and shard requests were received.
    pub received: RecentTimes,
    /// When shard requests were received.
    pub shard_requests: RecentTimes,
    /// When further attempts (beyond the first of a shard request) started.
    pub further_attempts: RecentTimes,
    /// When hedges started.
    pub hedges: RecentTimes,
    /// When queries were received, and from which tenant.
    queries_by_tenant: VecDeque<(Nanos, usize)>,
}

impl RecentTraffic {
    pub(super) fn query_received(&mut self, now: Nanos, tenant: usize) {
        self.queries_by_tenant.push_back((now, tenant));
        self.received.push(now);
    }

    pub(super) fn shard_request_received(&mut self, now: Nanos) {
        self.received.push(now);
        self.shard_requests.push(now);
    }

    /// Returns the number of queries of a tenant that were received after `since`.
    pub fn queries_of(&self, tenant: usize, since: Nanos) -> usize {
        self.queries_by_tenant.iter().filter(|&&(at, of)| of == tenant && at > since).count()
    }

    pub(super) fn forget_before(&mut self, before: Nanos) {
        while self.queries_by_tenant.front().is_some_and(|&(at, _)| at < before) {
            self.queries_by_tenant.pop_front();
        }
        for times in
            [&mut self.received, &mut self.shard_requests, &mut self.further_attempts, &mut self.hedges]
        {
            times.forget_before(before);
        }
    }
}
