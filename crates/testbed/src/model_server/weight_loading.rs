//! Loading of weights: accepts orders, and rejects or ends the model's requests as an order demands.

use super::server::ModelServerEmulator;
use super::weights::{LoadMethod, WeightOrder};
use crate::effects::{ConnectionKey, Effects, Notice};
use crate::observation::Observation;

impl ModelServerEmulator {
    /// Accepts or rejects an order to load weights, and responds to it.
    pub(super) fn handle_order(
        &mut self,
        now: u64,
        connection: ConnectionKey,
        body: &[u8],
        out: &mut Effects,
    ) {
        let Some(order) = WeightOrder::parse(body) else { return self.respond(connection, 400, &[], out) };
        out.observations.push(Observation::OrderReceived {
            server: self.instance(),
            leader: order.leader.clone(),
            token: order.fencing_token,
        });
        let status = self.weights.accept_order(&order);
        if status == 202 {
            self.begin_loading(now, &order, out);
        }
        self.respond(connection, status, &[], out);
    }

    /// Rejects queued requests for the model, and ends its generations according to the order's method.
    fn begin_loading(&mut self, now: u64, order: &WeightOrder, out: &mut Effects) {
        let queue = std::mem::take(&mut self.work.queue);
        for queued in queue {
            if queued.model == order.model {
                self.reject(queued.connection, 503, &queued.id, out);
            } else {
                self.work.queue.push_back(queued);
            }
        }
        if order.method == LoadMethod::Truncate {
            for generation in self.work.running.iter().filter(|generation| generation.model == order.model) {
                self.frontend.reset(generation.connection, out);
            }
            self.work.running.retain(|generation| generation.model != order.model);
        }
        self.advance_loading(now, out);
    }

    /// Starts the load as soon as running generations allow it, and completes it when its time is over.
    pub(super) fn advance_loading(&mut self, now: u64, out: &mut Effects) {
        let load_ms = self.settings.load_ms;
        let Some(loading) = self.weights.loading_mut() else { return };
        match loading.done_at {
            None if loading.method == LoadMethod::Wait && self.work.has_generation_of(&loading.model) => {}
            None => loading.done_at = Some(now + load_ms),
            Some(at) if at <= now => {
                let Some((model, version)) = self.weights.finish_loading() else { return };
                let instance = self.instance();
                out.notices.push(Notice::WeightsLoaded { instance, model, version });
            }
            Some(_) => {}
        }
    }
}
