//! Reports the demand for servers of scaled services on this store node to the head of the control chain.

use orchidvalve_configuration::RouteTable;
use orchidvalve_protocol::messages::ServiceLoad;

use super::Process;
use crate::store::UndispatchedItems;

impl Process {
    /// Reports the waiting items to the control node of the session if a report is due. No report is sent if no service
    /// is scaled.
    pub(super) fn report_load(&mut self) {
        if !self.load_reports.is_due(self.now) {
            return;
        }
        let Some(configuration) = self.feed.replica().state().configuration() else { return };
        let routes = configuration.routes();
        let scaled = routes.services().iter().filter(|service| service.scaling.is_some());
        let scaled: Vec<&str> = scaled.map(|service| service.name.as_str()).collect();
        if scaled.is_empty() {
            return;
        }
        let undispatched = self.store.undispatched_items();
        let load = |service: &&str| ServiceLoad {
            service: (*service).to_owned(),
            running: 0,
            waiting: waiting_for(service, &undispatched, routes),
        };
        let loads = scaled.iter().map(load).collect();
        if let Some(report) = self.load_reports.observe(self.now, self.feed.session_node(), loads) {
            self.feed.send(&mut self.network, &report);
        }
    }
}

/// Returns the number of items whose route sends most of its requests to the service.
fn waiting_for(service: &str, undispatched: &[UndispatchedItems], routes: &RouteTable) -> u32 {
    let is_for_service = |items: &&UndispatchedItems| {
        let route = routes.lookup(&items.hostname, &items.route_prefix);
        let main = route.and_then(|route| routes.services().get(route.split.main_service()));
        main.is_some_and(|main| main.name == service)
    };
    undispatched.iter().filter(is_for_service).map(|items| items.count).sum()
}
