//! A node process; the test itself emulates its replicas, its discovery agent and its clients. No test sleeps: each
//! waits for expected events, and the timeouts only end a test that has failed. `docs/endings.md` has the table of
//! endings that these tests cover.

mod clients;
mod configuration;
mod discovery;
mod queries;
mod shutdown;
mod store_connections;
mod support;
