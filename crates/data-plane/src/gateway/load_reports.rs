//! What this gateway has to do at the servers of services that the system scales, for the head of the control chain.

use orchidvalve_configuration::RouteTable;
use orchidvalve_protocol::messages::ServiceLoad;

use super::Gateway;

impl Gateway {
    /// Tells the control node of the session what there is to do, if that is due. Without a service that is scaled nobody
    /// needs to know.
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
