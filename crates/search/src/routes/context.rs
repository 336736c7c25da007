//! The settings that routes depend on.

/// The properties of a service class that routes depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteClass {
    /// Its name.
    pub name: String,
    /// Whether requests of this class carry an idempotency key, for which index servers keep a receipt.
    pub has_idempotency_key: bool,
}

/// The settings that routes depend on.
#[derive(Clone, Debug)]
pub struct RoutingContext {
    /// The service classes, in the order of the settings.
    pub classes: Vec<RouteClass>,
    /// The number of shards.
    pub shards: usize,
}
