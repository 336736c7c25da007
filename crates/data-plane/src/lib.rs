//! Data plane: requests of clients, streams, groups of generations, reward calls.
//!
//! [`gateway`] is the process: it wires everything else to sockets and timers. The other modules do no I/O of their
//! own, or write to connections that they are handed, and take the time as an argument: milliseconds of a steady clock.
//!
//! `docs/architecture.md` follows a client's request and a batch job through these modules step by step.
//!
//! * [`admission`] finds a request's route and its tenant, whom [`authentication`] tells by the API key.
//! * [`requests`] decides on attempts, retries and hedges of clients' requests; [`balancer`] chooses the server of each;
//!   [`attempts`] proves what may be attempted again and what may be promised.
//! * [`generations`] runs groups of generations that stores assign through [`work`] and [`store_links`].
//! * [`batch_calls`] carries clients' calls about batch jobs to the stores.
//! * [`usage`] counts the requests of each tenant that began at servers, for the reports of usage.
//! * [`clients`] and [`upstream`] keep the connections to clients and to servers; [`exchanges`] says what each exchange
//!   with a server is for.
//! * [`startup_queue`] keeps requests that come before there are a configuration and servers; [`response_class`] says
//!   what a server's response means; [`own_answers`] counts what the gateway itself answers; [`text_compression`] packs texts on their way to the stores.

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
pub mod own_answers;
pub mod requests;
pub mod response_class;
pub mod startup_queue;
pub mod store_links;
pub mod text_compression;
pub mod upstream;
pub mod usage;
pub mod work;
