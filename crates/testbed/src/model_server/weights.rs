//! The weights of a model server, and the leader's orders to load other ones.

use std::collections::BTreeMap;

use serde_json::Value;

use crate::effects::ModelVersion;

/// What happens to the running generations of a model when its weights change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadMethod {
    /// The load waits until they have ended.
    Wait,
    /// Their streams are reset.
    Truncate,
    /// They continue under the new version.
    Retain,
}

impl LoadMethod {
    fn parse(name: &str) -> Option<LoadMethod> {
        match name {
            "wait" => Some(LoadMethod::Wait),
            "truncate" => Some(LoadMethod::Truncate),
            "retain" => Some(LoadMethod::Retain),
            _ => None,
        }
    }
}

/// An order to load weights, as parsed from its body.
#[derive(Clone, Debug)]
pub(super) struct WeightOrder {
    pub model: String,
    pub version: u64,
    pub method: LoadMethod,
    /// The leader that sent the order.
    pub leader: String,
    pub fencing_token: u64,
    /// The order is rejected unless the server has accepted exactly this number of orders before.
    pub expected_count: Option<u64>,
}

impl WeightOrder {
    /// Returns `None` if the body is not an order, or lacks the leader or the fencing token.
    pub fn parse(body: &[u8]) -> Option<WeightOrder> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let method = LoadMethod::parse(value["method"].as_str()?)?;
        if value["operation"] != "config-version" {
            return None;
        }
        Some(WeightOrder {
            model: value["model"].as_str()?.to_owned(),
            version: value["config-version"].as_u64()?,
            method,
            leader: value["holder"].as_str()?.to_owned(),
            fencing_token: value["fence-token"].as_u64()?,
            expected_count: value["expected-count"].as_u64(),
        })
    }
}

/// A load of weights in progress.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    pub model: String,
    pub version: u64,
    pub method: LoadMethod,
    /// Time at which the load is done; `None` while running generations have to end first.
    pub done_at: Option<u64>,
}

/// The weights of a server, and the state of its orders.
#[derive(Debug)]
pub(super) struct Weights {
    /// Served version by model.
    versions: BTreeMap<String, u64>,
    /// Latest version that a trainer announced, by model.
    announced: BTreeMap<String, u64>,
    /// Number of orders accepted since the start.
    order_count: u64,
    highest_token: u64,
    /// Whether orders with a lower token than an earlier order are rejected.
    fencing_enforced: bool,
    loading: Option<Loading>,
}

impl Weights {
    /// Returns the weights of a server that starts with the given versions.
    pub fn new(models: &[ModelVersion], fencing_enforced: bool) -> Weights {
        let versions: BTreeMap<String, u64> =
            models.iter().map(|initial| (initial.model.clone(), initial.version)).collect();
        Weights {
            announced: versions.clone(),
            versions,
            order_count: 0,
            highest_token: 0,
            fencing_enforced,
            loading: None,
        }
    }

    /// Accepts or rejects an order, and returns the status of the response.
    pub fn accept_order(&mut self, order: &WeightOrder) -> u16 {
        let Some(&current) = self.versions.get(&order.model) else { return 400 };
        let latest = self.announced.get(&order.model).copied().unwrap_or(1);
        if order.version == 0 || order.version > latest {
            return 400;
        }
        if self.fencing_enforced && order.fencing_token < self.highest_token {
            return 412;
        }
        self.highest_token = self.highest_token.max(order.fencing_token);
        let is_count_unexpected = order.expected_count.is_some_and(|expected| expected != self.order_count);
        if self.loading.is_some() || is_count_unexpected {
            return 409;
        }
        if current == order.version {
            return 200;
        }
        self.order_count += 1;
        self.loading = Some(Loading {
            model: order.model.clone(),
            version: order.version,
            method: order.method,
            done_at: None,
        });
        202
    }

    /// Records that a trainer announced a version, so that orders for it are accepted.
    pub fn announce_version(&mut self, model: &str, version: u64) {
        let latest = self.announced.entry(model.to_owned()).or_insert(1);
        *latest = (*latest).max(version);
    }

    /// Resets the state of the orders and the load in progress, but keeps the weights.
    pub fn reset_orders(&mut self) {
        self.order_count = 0;
        self.highest_token = 0;
        self.loading = None;
    }

    /// Returns the load in progress.
    pub fn loading(&self) -> Option<&Loading> {
        self.loading.as_ref()
    }

    pub fn loading_mut(&mut self) -> Option<&mut Loading> {
        self.loading.as_mut()
    }

    /// Completes the load in progress. Returns its model and the version that is served from now on.
    pub fn finish_loading(&mut self) -> Option<(String, u64)> {
        let Loading { model, version, .. } = self.loading.take()?;
        self.versions.insert(model.clone(), version);
        Some((model, version))
    }

    pub fn is_loading(&self, model: &str) -> bool {
        self.loading.as_ref().is_some_and(|loading| loading.model == model)
    }

    /// Returns the served version of a model; `None` if the model is unknown.
    pub fn version(&self, model: &str) -> Option<u64> {
        self.versions.get(model).copied()
    }

    /// Returns the models with their served versions.
    pub fn versions(&self) -> impl Iterator<Item = (&str, u64)> {
        self.versions.iter().map(|(model, version)| (model.as_str(), *version))
    }

    pub fn order_count(&self) -> u64 {
        self.order_count
    }
}
