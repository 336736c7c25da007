//! Reports of this gateway's demand for services with automatic scaling, for the head of the control chain.

use orchidvalve_configuration::RouteTable;
use orchidvalve_protocol::messages::ServiceLoad;

use super::Gateway;

impl Gateway {
    /// Sends the load of all scaled services to the control node of the session, if a report is due. Nothing is sent
    /// if no service is scaled.
    pub(super) fn report_load(&mut self) {
        if !self.load_reports.is_due(self.now) {
            return;
        }
        let Some(routes) = self.routes.as_ref().filter(|routes| has_scaled_service(routes)) else { return };
        let scaled = routes.services().iter().filter(|service| service.scaling.is_some());
        let loads = scaled.map(|service| self.service_load(&service.name)).collect();
        if let Some(report) = self.load_reports.observe(self.now, self.feed.session_node(), loads) {
            self.feed.send(&mut self.network, &report);
        }
    }

    fn service_load(&self, service: &str) -> ServiceLoad {
        let waiting = self.requests.waiting(service) + self.runner.waiting_generations(service);
        ServiceLoad {
            service: service.to_owned(),
            running: self.servers.balancer.in_flight(service),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
        }
    }
}

fn has_scaled_service(routes: &RouteTable) -> bool {
    routes.services().iter().any(|service| service.scaling.is_some())
}
