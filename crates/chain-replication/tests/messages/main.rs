//! Encoding of every message of the chain, with each variant and field: round trips and rejection of damaged bytes.

#[path = "../../../protocol/tests/messages/checks.rs"]
mod checks;
#[path = "../../../protocol/tests/messages/generate.rs"]
mod generate;
#[path = "../../../protocol/tests/messages/strategies.rs"]
mod protocol_strategies;
mod strategies;

use checks::{check_encoding, check_frames};
use orchidvalve_chain_replication::{ChainView, Entry, Message};

#[test]
fn messages() {
    check_encoding::<Message>();
    check_frames::<Message>();
}

#[test]
fn entries_and_views() {
    check_encoding::<Entry>();
    check_encoding::<ChainView>();
}
