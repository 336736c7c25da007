//! Emulator of a model server: token streams, status reports, and orders to load weights.

mod faults;
mod generations;
mod server;
mod weight_loading;
mod weights;

pub use server::{ModelServerEmulator, ModelServerSettings};
