//! The kinds of servers that a host emulates.

use crate::application_server::ApplicationServerEmulator;
use crate::effects::{Effects, Service};
use crate::model_server::ModelServerEmulator;
use crate::platform::PlatformStub;
use crate::server_fault::ServerFault;

/// An emulated server.
#[derive(Debug)]
pub enum EmulatedServer {
    /// The platform; server faults do not apply to it.
    Platform(PlatformStub),
    /// A model server.
    Model(ModelServerEmulator),
    /// A plain application server.
    Application(ApplicationServerEmulator),
}

impl EmulatedServer {
    pub(super) fn service(&mut self) -> &mut dyn Service {
        match self {
            EmulatedServer::Platform(platform) => platform,
            EmulatedServer::Model(server) => server,
            EmulatedServer::Application(server) => server,
        }
    }

    /// Returns the id of the current incarnation; empty for the platform.
    pub fn instance(&self) -> String {
        match self {
            EmulatedServer::Platform(_) => String::new(),
            EmulatedServer::Model(server) => server.instance(),
            EmulatedServer::Application(server) => server.instance(),
        }
    }

    /// Injects a fault.
    pub fn inject(&mut self, fault: ServerFault, out: &mut Effects) {
        match self {
            EmulatedServer::Platform(_) => {}
            EmulatedServer::Model(server) => server.inject(fault, out),
            EmulatedServer::Application(server) => server.inject(fault, out),
        }
    }

    /// Ends all faults except a crash.
    pub fn clear_faults(&mut self) {
        match self {
            EmulatedServer::Platform(_) => {}
            EmulatedServer::Model(server) => server.clear_faults(),
            EmulatedServer::Application(server) => server.clear_faults(),
        }
    }

    /// Makes health checks fail from now on.
    pub fn drain(&mut self) {
        match self {
            EmulatedServer::Platform(_) => {}
            EmulatedServer::Model(server) => server.drain(),
            EmulatedServer::Application(server) => server.drain(),
        }
    }

    /// Restarts the server as a new incarnation.
    pub fn restart(&mut self, out: &mut Effects) {
        match self {
            EmulatedServer::Platform(_) => {}
            EmulatedServer::Model(server) => server.restart(out),
            EmulatedServer::Application(server) => server.restart(out),
        }
    }
}
