//! The invariants that must hold at every step, and those at the end of the run.

use orchidvalve_consensus::View;
use orchidvalve_consensus::quorum::majority;

use super::Simulation;

impl Simulation {
    pub(super) fn record_decided(&mut self, view: &View) {
        if let Some((first, _)) = self.decided.get(&view.epoch) {
            assert_eq!(first, view, "{}: two views in one epoch", self.context());
            return;
        }
        assert!(view.is_well_formed(), "{}: {view:?}", self.context());
        self.decided.insert(view.epoch, (view.clone(), self.now));
        for epoch in [view.epoch, view.epoch + 1] {
            let (Some((next, _)), Some((previous, _))) =
                (self.decided.get(&epoch), self.decided.get(&(epoch - 1)))
            else {
                continue;
            };
            assert!(next.follows(previous), "{}: {previous:?} then {next:?}", self.context());
            let common = next.voters.iter().filter(|voter| previous.is_voter(**voter)).count();
            assert!(
                common >= majority(previous.voters.len()),
                "{}: voters of {previous:?} and {next:?}",
                self.context()
            );
        }
    }

    /// Checks that no machine knew a later view before the time that a majority has confirmed.
    pub(super) fn check_confirmation(&self, machine: usize) {
        let Some(agreement) = &self.machines[machine].agreement else { return };
        let (Some(confirmed_at), Some((_, decided_at))) =
            (agreement.quorum_confirmed_at(), self.decided.get(&(agreement.epoch() + 1)))
        else {
            return;
        };
        assert!(
            confirmed_at <= *decided_at,
            "{}: epoch {} confirmed at {confirmed_at}, the next one was decided by {decided_at}",
            self.context(),
            agreement.epoch()
        );
    }

    pub(super) fn check_progress(&self) {
        let (epoch, (view, _)) =
            self.decided.last_key_value().unwrap_or_else(|| panic!("{}: no view", self.context()));
        let context = self.context();
        for node in &self.machines {
            let agreement = node.agreement.as_ref().expect("all machines run after the faults");
            assert_eq!(agreement.epoch(), *epoch, "{context}: {} is behind", node.me);
            let confirmed_at = agreement.quorum_confirmed_at().unwrap_or(0);
            assert!(confirmed_at + 1_000 > self.now, "{context}: {} has no confirmation", node.me);
            if view.in_chain(node.me) {
                assert!(self.holds_acknowledged(node, *epoch), "{context}: {} lacks entries", node.me);
            }
        }
        let mut chain = view.chain.clone();
        let mut voters = view.voters.clone();
        chain.sort_unstable();
        voters.sort_unstable();
        assert_eq!(chain, voters, "{context}: a live voter isn't in the chain");
        for voter in &voters {
            assert!(self.machines.iter().any(|node| node.me == *voter), "{context}: {voter} lost its disk");
        }
        let settled = self.now - self.decided[epoch].1;
        assert!(settled > 2_000, "{context}: the view still changes, {view:?}");
    }
}
