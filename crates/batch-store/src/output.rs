//! Actions that a store requests from its host.

use orchidvalve_protocol::identity::MemberId;
use orchidvalve_protocol::messages::{SessionMessage, StoreMessage};
use orchidvalve_wal::Position;

use crate::link::LinkId;
use crate::messages::PeerMessage;

/// An action for the host of a store. The host executes the outputs of an input in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append the record to the write-ahead log. Positions rise by one for each record.
    Write(Vec<u8>),
    /// Records before this position are no longer needed.
    ReleaseBefore(Position),
    /// Send a message to the gateway on this link.
    ToGateway {
        /// Number of the link, as given with [`crate::Store::gateway_message`].
        link: LinkId,
        /// The message.
        message: StoreMessage,
    },
    /// Send a message to another store node; drop it if there is no link.
    ToPeer {
        /// The recipient.
        to: MemberId,
        /// The message.
        message: PeerMessage,
    },
    /// Send a message to the control node of this process's session; drop it if there is no session.
    ToControl(SessionMessage),
}
