//! The state that survives a restart.

use musli::{Decode, Encode};

use crate::acceptor::Acceptor;
use crate::view::{Epoch, View};

/// The complete on-disk state of the agreement, a few hundred bytes, always written in full.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct DurableState {
    /// The latest known view.
    pub view: Option<View>,
    /// Promise and accepted view in the instance after `view`.
    pub acceptor: Acceptor,
    /// Set if this member is in the chain of `view` and holds every entry that was acknowledged in earlier epochs.
    pub complete: bool,
}

impl DurableState {
    /// Returns the epoch of the latest known view, or zero if there is none.
    pub fn epoch(&self) -> Epoch {
        self.view.as_ref().map_or(0, |view| view.epoch)
    }
}
