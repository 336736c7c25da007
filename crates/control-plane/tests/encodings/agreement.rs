//! Strategies for all messages and durable records of the agreement on views, and for their parts.

use orchidvalve_consensus::acceptor::Acceptor;
use orchidvalve_consensus::{AcceptedView, Ballot, DurableState, MemberStatus, Message, View};

use crate::{generate_enum, generate_struct};

generate_struct!(Ballot { round, proposer });
generate_struct!(MemberStatus { caught_up, unsettled, reaches_chain, leaving, impaired });
generate_struct!(View { epoch, voters, chain });
generate_struct!(AcceptedView { ballot, view });
generate_struct!(Acceptor { promised, accepted });
generate_struct!(DurableState { view, acceptor, complete });
generate_enum!(Message {
    Hello { member, bootstrap, epoch },
    Ping { number, epoch },
    Pong { number, epoch, status },
    Prepare { epoch, ballot },
    Promise { epoch, ballot, accepted },
    Accept { ballot, view },
    Accepted { epoch, ballot },
    Nack { epoch, ballot, promised },
    Decided { view },
});
