//! The data plane of a gateway: clients' requests, streams, groups of generations, and reward calls.
//!
//! [`gateway`] is the process: it connects all other modules to sockets and timers. The other modules do no I/O of
//! their own, or write to connections that are passed to them, and receive the time as an argument, in milliseconds
//! of a steady clock.
//!
//! `docs/architecture.md` follows a client's request and a batch job through these modules step by step.
//!
//! * [`admission`] finds a request's route and tenant; [`authentication`] identifies the tenant by the API key.
//! * [`requests`] decides on attempts, retries and hedges of clients' requests; [`balancer`] selects the server of each
//!   attempt; [`attempts`] determines what may be attempted again and what may be promised to the client.
//! * [`generations`] runs groups of generations that store nodes assign through [`work`] and [`store_links`].
//! * [`batch_calls`] forwards clients' calls about batch jobs to the store nodes.
//! * [`usage`] counts the requests of each tenant that started at servers, for the usage reports.
//! * [`clients`] and [`upstream`] manage the connections to clients and to servers; [`exchanges`] records the purpose
//!   of each exchange with a server.
//! * [`startup_queue`] holds requests that arrive before a configuration and a server table; [`response_class`]
//!   classifies servers' responses; [`local_responses`] counts error responses that the gateway produced itself;
//!   [`text_compression`] compresses texts for their transfer to the store nodes.

pub mod admission;
pub mod attempts;
pub mod authentication;
mod backoff;
pub mod balancer;
pub mod batch_calls;
pub mod clients;
pub mod exchanges;
pub mod gateway;
pub mod generations;
pub mod local_responses;
pub mod requests;
pub mod response_class;
pub mod startup_queue;
pub mod store_links;
pub mod text_compression;
pub mod upstream;
pub mod usage;
pub mod work;
