//! Strategies for all messages between control nodes, all records on their disks, and the parts of both.

use orchidvalve_control_plane::disk_records::DiskRecord;
use orchidvalve_control_plane::peer_messages::{ForwardNumber, HeadRequest, PeerMessage, RequestOutcome};
use orchidvalve_control_plane::sessions::Session;

use proptest::strategy::{BoxedStrategy, Strategy};

use crate::generate::Generate;
use crate::{generate_enum, generate_struct};

impl Generate for ForwardNumber {
    fn variants() -> Vec<BoxedStrategy<ForwardNumber>> {
        u64::variants().into_iter().map(|number| number.prop_map(ForwardNumber).boxed()).collect()
    }
}

generate_struct!(Session { role, name, zone, member, incarnation, share, health, age_ms });
generate_enum!(HeadRequest { Change { change }, Retire { name } });
generate_enum!(RequestOutcome {
    Done,
    VersionConflict { reason },
    Invalid { reason },
    NotFound { reason },
    Conflict { reason },
    Unknown,
});
generate_enum!(PeerMessage {
    Handshake { handshake },
    Agreement(message),
    Chain(message),
    Forward { number, request },
    ForwardOutcome { number, outcome },
    Sessions { sessions },
    Servers(update),
    Workers(list),
    LearnerCaughtUp { partition, epoch, member },
    SessionsUnchanged,
    Usage { incarnation, windows },
    Load { incarnation, loads },
});
generate_enum!(DiskRecord {
    Entry(entry),
    Truncate { after },
    Reset { start, previous_epoch },
    Agreement(state),
    LeadershipEpoch { epoch },
    Compacted { first, previous_epoch },
});
