//! Ground of the system's programs: event loop, links, HTTP messages, settings and the types spoken between
//! processes.

pub mod clock;
pub mod frames;
pub mod http;
pub mod identity;
pub mod logging;
pub mod messages;
pub mod network;
pub mod outgoing_link;
pub mod rendezvous;
pub mod server_table;
pub mod settings;
