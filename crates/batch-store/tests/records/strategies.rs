//! Generators of all messages between stores and of all disk records.

use orchidvalve_batch_store::{DiskRecord, PeerMessage};

use crate::generate_enum;

generate_enum!(PeerMessage {
    Handshake { version, member },
    Heartbeat,
    Chain { partition, message },
});
generate_enum!(DiskRecord {
    Append { partition, entry },
    Truncate { partition, after },
    Reset { partition, start, previous_epoch },
    LogStart { partition, first, previous_epoch, view_epoch },
});
