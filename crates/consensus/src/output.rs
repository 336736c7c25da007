//! The outputs of the state machine, which its host carries out.

use orchidvalve_protocol::identity::MemberId;

use crate::durable_state::DurableState;
use crate::message::Message;
use crate::view::View;

/// Number of a write of the durable state. Numbers increase by one, and writes become durable in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteNumber(u64);

impl WriteNumber {
    /// Returns the number as an integer, for traces.
    pub fn get(self) -> u64 {
        self.0
    }

    /// Returns the number of the next write.
    pub(crate) fn next(self) -> WriteNumber {
        WriteNumber(self.0 + 1)
    }
}

/// An action for the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message. The network may lose, duplicate or reorder it.
    Send {
        /// The member that the message is for.
        to: MemberId,
        /// The message to send.
        message: Message,
    },
    /// Write `state` in place of the previous state and call [`crate::Agreement::write_durable`] with the number once
    /// it survives a loss of power. That call covers all earlier writes, too.
    Persist {
        /// Number of this write.
        write_number: WriteNumber,
        /// The state to write.
        state: DurableState,
    },
    /// The view is decided and durable here. Views may be skipped; each epoch is reported at most once per run.
    ViewChanged(View),
}
