//! The purpose of each exchange with a server: a client's request, a generation or a reward call.

mod outcomes;
mod request_encoding;

use std::collections::HashMap;

use orchidvalve_http::{EventStreamReader, ResponseHead};

pub use self::outcomes::{closed_stream_outcome, reward_outcome, stream_outcome, weight_version};
pub use self::request_encoding::{generation_bytes, request_bytes, reward_bytes};
use crate::balancer::ServerKey;
use crate::generations::{AttemptId, RewardCallId};
use crate::requests::RequestAttemptId;
use crate::upstream::ExchangeId;

/// The purpose of an exchange.
#[derive(Debug)]
pub enum Purpose {
    /// An attempt of a client's request.
    Request(RequestAttemptId),
    /// An attempt of a generation.
    Generation(Stream),
    /// A reward call.
    Reward {
        /// The call.
        call: RewardCallId,
        /// The head of the response, once received.
        head: Option<ResponseHead>,
    },
}

/// The stream of a generation.
#[derive(Debug)]
pub struct Stream {
    /// The attempt that the stream belongs to.
    pub attempt: AttemptId,
    /// The head of the response, once received.
    pub head: Option<ResponseHead>,
    /// The parser of the body's events.
    pub events: EventStreamReader,
}

/// An exchange with a server.
#[derive(Debug)]
pub struct Exchange {
    /// The server.
    pub server: ServerKey,
    /// The purpose of the exchange.
    pub purpose: Purpose,
}

/// All exchanges in flight, by their ids and by their purposes.
#[derive(Default, Debug)]
pub struct Exchanges {
    exchanges: HashMap<ExchangeId, Exchange>,
    requests: HashMap<RequestAttemptId, ExchangeId>,
    generations: HashMap<AttemptId, ExchangeId>,
    rewards: HashMap<RewardCallId, ExchangeId>,
}

impl Exchanges {
    /// Adds an exchange that begins.
    pub fn insert(&mut self, id: ExchangeId, server: ServerKey, purpose: Purpose) {
        match &purpose {
            Purpose::Request(attempt) => {
                self.requests.insert(*attempt, id);
            }
            Purpose::Generation(stream) => {
                self.generations.insert(stream.attempt, id);
            }
            Purpose::Reward { call, .. } => {
                self.rewards.insert(*call, id);
            }
        }
        self.exchanges.insert(id, Exchange { server, purpose });
    }

    /// Returns an exchange in flight.
    pub fn get_mut(&mut self, id: ExchangeId) -> Option<&mut Exchange> {
        self.exchanges.get_mut(&id)
    }

    /// Removes an exchange that has ended.
    pub fn remove(&mut self, id: ExchangeId) -> Option<Exchange> {
        let exchange = self.exchanges.remove(&id)?;
        match &exchange.purpose {
            Purpose::Request(attempt) => self.requests.remove(attempt),
            Purpose::Generation(stream) => self.generations.remove(&stream.attempt),
            Purpose::Reward { call, .. } => self.rewards.remove(call),
        };
        Some(exchange)
    }

    /// Returns the exchange of a request's attempt.
    pub fn of_request(&self, attempt: RequestAttemptId) -> Option<ExchangeId> {
        self.requests.get(&attempt).copied()
    }

    /// Returns the exchange of a generation's attempt.
    pub fn of_generation(&self, attempt: AttemptId) -> Option<ExchangeId> {
        self.generations.get(&attempt).copied()
    }

    /// Returns the exchange of a reward call.
    pub fn of_reward(&self, call: RewardCallId) -> Option<ExchangeId> {
        self.rewards.get(&call).copied()
    }
}
