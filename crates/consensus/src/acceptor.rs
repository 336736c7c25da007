//! The acceptor of one single-decree Paxos instance.

use musli::{Allocator, Decode, Decoder, Encode, Encoder};

use crate::message::Ballot;
use crate::view::View;

/// A view that an acceptor has accepted. It is encoded as a pair, because the first published format was a pair.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AcceptedView {
    /// The ballot under which the view was accepted.
    pub ballot: Ballot,
    /// The accepted view.
    pub view: View,
}

impl<M> Encode<M> for AcceptedView
where
    Ballot: Encode<M>,
    View: Encode<M>,
{
    type Encode = Self;

    const IS_BITWISE_ENCODE: bool = false;

    fn encode<E: Encoder<Mode = M>>(&self, encoder: E) -> Result<(), E::Error> {
        (&self.ballot, &self.view).encode(encoder)
    }

    fn as_encode(&self) -> &Self {
        self
    }
}

impl<'de, M, A> Decode<'de, M, A> for AcceptedView
where
    A: Allocator,
    Ballot: Decode<'de, M, A>,
    View: Decode<'de, M, A>,
{
    const IS_BITWISE_DECODE: bool = false;

    fn decode<D: Decoder<'de, Mode = M, Allocator = A>>(decoder: D) -> Result<Self, D::Error> {
        let (ballot, view) = Decode::decode(decoder)?;
        Ok(AcceptedView { ballot, view })
    }
}

/// The state that an acceptor must keep within an instance. A reply may be sent only after this state is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Acceptor {
    /// The highest promised ballot. Lower ballots are rejected.
    pub promised: Option<Ballot>,
    /// The most recently accepted view.
    pub accepted: Option<AcceptedView>,
}

impl Acceptor {
    /// Returns the ballot of the most recently accepted view.
    pub fn accepted_ballot(&self) -> Option<Ballot> {
        self.accepted.as_ref().map(|accepted| accepted.ballot)
    }

    /// Phase 1: promises `ballot` unless a higher ballot was promised.
    ///
    /// # Errors
    /// Returns the promised ballot if it is higher than `ballot`.
    pub fn prepare(&mut self, ballot: Ballot) -> Result<(), Ballot> {
        match self.promised {
            Some(promised) if promised > ballot => Err(promised),
            _ => {
                self.promised = Some(ballot);
                Ok(())
            }
        }
    }

    /// Phase 2: accepts `view` unless a higher ballot was promised.
    ///
    /// # Errors
    /// Returns the promised ballot if it is higher than `ballot`.
    pub fn accept(&mut self, ballot: Ballot, view: &View) -> Result<(), Ballot> {
        self.prepare(ballot)?;
        self.accepted = Some(AcceptedView { ballot, view: view.clone() });
        Ok(())
    }
}
