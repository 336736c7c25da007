//! Views: the outputs of the agreement, and the change from one view to the next.

use orchidvalve_chain_replication::{ChainView, Epoch};
use orchidvalve_consensus::{Output as AgreementOutput, View, WriteNumber};
use orchidvalve_protocol::identity::MemberId;

use super::{ControlNode, Disk, NodeOutput};
use crate::peer_messages::PeerMessage;

impl<D: Disk> ControlNode<D> {
    /// Carries out the outputs of the agreement, in order.
    pub(super) fn apply_agreement_outputs(&mut self, outputs: Vec<AgreementOutput>) {
        for output in outputs {
            match output {
                AgreementOutput::Send { to, message } => {
                    self.outputs.push(NodeOutput::Send { to, message: PeerMessage::Agreement(message) });
                }
                AgreementOutput::Persist { write_number, state } => {
                    self.agreement_record.set_state(state);
                    self.write_agreement(Some(write_number));
                }
                AgreementOutput::ViewChanged(view) => self.enter_view(view),
            }
        }
    }

    /// Writes the latest state of the agreement. Without a write number this repeats a record that the agreement does not
    /// wait for.
    pub(super) fn write_agreement(&mut self, write_number: Option<WriteNumber>) {
        if let Some(record) = self.agreement_record.record() {
            let position = self.disk.append(&record);
            self.agreement_record.written(position, write_number);
        }
    }

    /// Enters a view that is decided and durable here, and passes its chain to the replica.
    pub(super) fn enter_view(&mut self, view: View) {
        let (me, chain) = (self.config.me, &view.chain);
        self.learners.retain(|member| !chain.contains(member));
        if !chain.contains(&me) && !self.learners.contains(&me) {
            self.learners.push(me);
        }
        let chain_view = ChainView {
            epoch: view.epoch,
            members: view.chain.clone(),
            learners: self.learners.clone(),
            minimum: self.config.tolerance + 1,
        };
        log::info!("control: view {} has voters {:?}, chain {:?}", view.epoch, view.voters, view.chain);
        self.state.discard_tentative();
        self.checkpoints.view_changed();
        self.leadership.view_changed();
        let mut outputs = Vec::new();
        self.replica.view_changed(chain_view, &self.log, &mut outputs);
        self.apply_chain_outputs(outputs);
        if !self.replica.is_head() {
            self.abandon_decided_requests();
        }
        self.outputs.push(NodeOutput::ViewChanged(view));
    }

    /// Sets the control nodes that are alive. Those outside the chain copy the log and may become members.
    pub fn set_candidates(&mut self, candidates: &[MemberId]) {
        let chain = self.agreement.view().map_or(Vec::new(), |view| view.chain.clone());
        let in_chain = |member: &MemberId| chain.contains(member);
        let outside: Vec<MemberId> = candidates.iter().filter(|member| !in_chain(member)).copied().collect();
        self.agreement.set_learners(&outside);
        let mut learners = outside;
        if !in_chain(&self.config.me) && self.agreement.epoch() > 0 {
            learners.push(self.config.me);
        }
        if learners != self.learners {
            self.learners.clone_from(&learners);
            let mut outputs = Vec::new();
            self.replica.learners_changed(learners, &self.log, &mut outputs);
            self.apply_chain_outputs(outputs);
        }
    }

    /// Notes that `member` holds everything committed before the view of `epoch`.
    pub(super) fn member_caught_up(&mut self, member: MemberId, epoch: Epoch) {
        let mut outputs = Vec::new();
        self.agreement.member_caught_up(member, epoch, &mut outputs);
        self.apply_agreement_outputs(outputs);
    }

    /// Reports that this node has caught up, if it is outside the chain.
    pub(super) fn report_caught_up(&mut self) {
        if !self.replica.is_member() && self.replica.is_synchronized() {
            self.member_caught_up(self.config.me, self.replica.view().epoch);
        }
    }
}
