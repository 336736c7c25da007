//! Generators for all messages of the chain and their parts.

use orchidvalve_chain_replication::{ChainView, Entry, EpochRun, Message};

use crate::{generate_enum, generate_struct};

generate_struct!(Entry { sequence, epoch, payload });
generate_struct!(EpochRun { epoch, first });
generate_struct!(ChainView { epoch, members, learners, minimum });
generate_enum!(Message {
    Position { epoch, position_id, first, runs, end },
    Locate { epoch },
    Entries { epoch, position_id, previous_sequence, previous_epoch, entries, committed, epoch_base },
    Acknowledge { epoch, sequence },
    Reset { epoch, position_id, start, previous_epoch },
    Confirm { epoch, round },
    Confirmed { epoch, round, committed },
});
