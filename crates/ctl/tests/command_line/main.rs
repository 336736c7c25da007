//! Tests of the command line: checks without requests, each command against a stub server, and the program as a
//! process.

mod check;
mod commands;
mod golden;
mod program;
mod stub_server;
mod support;
