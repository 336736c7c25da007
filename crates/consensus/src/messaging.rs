//! Dispatch of received messages, announcement of the current view, and pings.

use orchidvalve_protocol::identity::MemberId;

use crate::agreement::Agreement;
use crate::message::Message;
use crate::output::Output;
use crate::view::Epoch;

impl Agreement {
    pub(crate) fn receive(&mut self, from: MemberId, message: Message, outputs: &mut Vec<Output>) {
        match message {
            Message::Hello { member, bootstrap, epoch } if member == from => {
                self.hello_received(from, bootstrap, epoch, outputs);
            }
            Message::Hello { .. } => {}
            Message::Ping { number, epoch } => self.ping_received(from, number, epoch, outputs),
            Message::Pong { number, epoch, status } => {
                let current = epoch == self.epoch();
                self.reconsider |=
                    self.failure_detector.pong_received(self.clock.now(), from, number, current, status);
                self.compare_epochs(from, epoch, outputs);
            }
            Message::Prepare { epoch, ballot } => self.prepare_received(from, epoch, ballot, outputs),
            Message::Promise { epoch, ballot, accepted } => {
                self.promise_received(from, epoch, ballot, accepted, outputs);
            }
            Message::Accept { ballot, view } => self.accept_received(from, ballot, view, outputs),
            Message::Accepted { epoch, ballot } => self.accepted_received(from, epoch, ballot, outputs),
            Message::Nack { epoch, ballot, promised } => {
                if epoch == self.epoch() + 1 {
                    self.instance.ballot_rejected(ballot, promised);
                }
            }
            Message::Decided { view } => self.adopt(view, outputs),
        }
    }

    fn hello_received(&mut self, from: MemberId, bootstrap: bool, epoch: Epoch, outputs: &mut Vec<Output>) {
        let newcomer = self.seeds.learn(from, bootstrap);
        if newcomer && self.state.view.is_none() {
            self.watch_members();
            self.reconsider = true;
        }
        self.compare_epochs(from, epoch, outputs);
        if epoch > self.epoch() || (newcomer && epoch == self.epoch()) {
            outputs.push(Output::Send { to: from, message: self.hello() });
        }
    }

    fn ping_received(&mut self, from: MemberId, number: u64, epoch: Epoch, outputs: &mut Vec<Output>) {
        let message =
            Message::Pong { number, epoch: self.pending_writes.durable_epoch(), status: self.status() };
        outputs.push(Output::Send { to: from, message });
        self.compare_epochs(from, epoch, outputs);
    }

    /// Sends the current view to a member that knows an older one.
    fn compare_epochs(&mut self, from: MemberId, epoch: Epoch, outputs: &mut Vec<Output>) {
        self.seeds.system_exists |= epoch > 0;
        if epoch < self.epoch() {
            self.send_decided(from, outputs);
        }
    }

    pub(crate) fn send_decided(&self, to: MemberId, outputs: &mut Vec<Output>) {
        if let Some(view) = &self.state.view {
            outputs.push(Output::Send { to, message: Message::Decided { view: view.clone() } });
        }
    }

    /// Pings the voters and the learners, or the seeds before there is a view.
    pub(crate) fn watch_members(&mut self) {
        let me = self.me;
        let others = move |member: &MemberId| *member != me;
        match &self.state.view {
            None => self.failure_detector.watch(self.clock.now(), self.seeds.known().filter(others)),
            Some(view) => {
                let members = view.voters.iter().chain(&self.learners).copied();
                self.failure_detector.watch(self.clock.now(), members.filter(others));
            }
        }
    }

    pub(crate) fn send_pings(&mut self, outputs: &mut Vec<Output>) {
        let number = self.failure_detector.start_heartbeat_round(self.clock.now());
        let epoch = self.epoch();
        let message = if epoch == 0 { self.hello() } else { Message::Ping { number, epoch } };
        outputs
            .extend(self.failure_detector.members().map(|to| Output::Send { to, message: message.clone() }));
    }
}
