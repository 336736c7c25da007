//! The state machine: applies each kind of change.

use std::collections::BTreeMap;
use std::sync::Arc;

use orchidvalve_configuration::{Configuration, ConfigurationError, fingerprint};
use orchidvalve_protocol::identity::MemberId;

use crate::change::{Applied, Change, ChangeError, ModelUsage};
use crate::configuration_history::{AcceptedChange, ConfigurationHistory};
use crate::placement::{Placement, RegisteredStore};
use crate::snapshot::StateSnapshot;
use crate::usage_reports::UsageReports;

/// The version of a model's weights before one is named.
const FIRST_VERSION: u64 = 1;

/// The control state.
#[derive(Clone, Default, Debug)]
pub struct ControlState {
    configuration: Option<Arc<Configuration>>,
    history: ConfigurationHistory,
    versions: BTreeMap<String, u64>,
    stores: BTreeMap<String, RegisteredStore>,
    partitions: Vec<Placement>,
    models: BTreeMap<String, ModelUsage>,
    usage_reports: UsageReports,
}

impl ControlState {
    /// Returns the configuration, or `None` before the first.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Returns the version of the configuration, or 0 before the first.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version())
    }

    /// Returns the latest named version of each model's weights; models without an entry have version 1.
    pub fn versions(&self) -> &BTreeMap<String, u64> {
        &self.versions
    }

    /// Returns how models are used, according to the jobs submitted so far.
    pub fn models(&self) -> &BTreeMap<String, ModelUsage> {
        &self.models
    }

    /// Returns the usage reports to the platform.
    pub fn usage_reports(&self) -> &UsageReports {
        &self.usage_reports
    }

    /// Returns the registered store nodes by name.
    pub fn stores(&self) -> &BTreeMap<String, RegisteredStore> {
        &self.stores
    }

    /// Returns the placements by partition number; empty before the first placement.
    pub fn partitions(&self) -> &[Placement] {
        &self.partitions
    }

    /// Applies a change. On an error, the state stays the same.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is invalid in this state. All nodes get the same result.
    pub fn apply(&mut self, change: &Change) -> Result<Applied, ChangeError> {
        match change {
            Change::Checkpoint(snapshot) => {
                *self = ControlState::from_snapshot(snapshot)?;
                Ok(Applied::Changed)
            }
            Change::Replace { base, body } => {
                self.configure(*base, body, |current| Configuration::replace(body, current))
            }
            Change::Patch { base, body } => {
                self.configure(*base, body, |current| Configuration::patch(body, current))
            }
            Change::NameVersion { model, version } => Ok(self.name_version(model, *version)),
            Change::RegisterStore { name, zone, member } => {
                self.register_store(name, zone, *member);
                Ok(Applied::Changed)
            }
            Change::Place(placements) => {
                self.apply_placements(placements);
                Ok(Applied::Changed)
            }
            Change::Retire { name } => self.retire(name),
            Change::BeginTerm => Ok(Applied::Unchanged),
            Change::RecordModelUsage { model, usage } => Ok(self.record_model_usage(model, *usage)),
            Change::DecideUsageReport(report) => Ok(self.usage_reports.decide(report)),
            Change::AcceptUsageReport { window } => Ok(self.usage_reports.accept(*window)),
        }
    }

    fn configure(
        &mut self,
        base: u64,
        body: &[u8],
        build: impl FnOnce(Option<&Configuration>) -> Result<Configuration, ConfigurationError>,
    ) -> Result<Applied, ChangeError> {
        let fingerprint = fingerprint(body);
        if self.history.contains(base, fingerprint) {
            return Ok(Applied::Unchanged);
        }
        self.history.check_base(base, self.configuration_version())?;
        let configuration = build(self.configuration.as_deref()).map_err(ChangeError::Invalid)?;
        self.history.remember(AcceptedChange { version: configuration.version(), base, fingerprint });
        self.configuration = Some(Arc::new(configuration));
        Ok(Applied::Changed)
    }

    fn name_version(&mut self, model: &str, version: u64) -> Applied {
        let current = self.versions.get(model).copied().unwrap_or(FIRST_VERSION);
        if version <= current {
            return Applied::Unchanged;
        }
        self.versions.insert(model.to_owned(), version);
        Applied::Changed
    }

    fn record_model_usage(&mut self, model: &str, usage: ModelUsage) -> Applied {
        let known = self.models.get(model).copied();
        let covering = known.map_or(usage, |known| known.with(usage));
        if known == Some(covering) {
            return Applied::Unchanged;
        }
        self.models.insert(model.to_owned(), covering);
        Applied::Changed
    }

    /// Applies new placements. A placement whose epoch isn't above the current one is stale and is skipped.
    fn apply_placements(&mut self, placements: &[(u16, Placement)]) {
        for (partition, placement) in placements {
            let index = usize::from(*partition);
            if index >= self.partitions.len() {
                self.partitions.resize(index + 1, Placement::default());
            }
            if placement.epoch > self.partitions[index].epoch {
                self.partitions[index] = placement.clone();
            }
        }
    }

    /// Registers a store node. A retiring machine stays retiring when it returns with another disk; under another
    /// address, the same name stands for another machine.
    fn register_store(&mut self, name: &str, zone: &str, member: MemberId) {
        let is_same_machine = |known: &RegisteredStore| known.member.address == member.address;
        let retiring = self.stores.get(name).is_some_and(|known| known.retiring && is_same_machine(known));
        self.stores.insert(name.to_owned(), RegisteredStore { zone: zone.to_owned(), member, retiring });
    }

    fn retire(&mut self, name: &str) -> Result<Applied, ChangeError> {
        match self.stores.get_mut(name) {
            None => Err(ChangeError::UnknownStore { name: name.to_owned() }),
            Some(store) if store.retiring => Ok(Applied::Unchanged),
            Some(store) => {
                store.retiring = true;
                Ok(Applied::Changed)
            }
        }
    }

    /// Returns the state in serialised form.
    pub fn snapshot(&self) -> StateSnapshot {
        StateSnapshot {
            configuration: self.configuration.as_ref().map(|c| (c.to_json(), c.fingerprint())),
            accepted: self.history.accepted().to_vec(),
            forgotten_below: self.history.forgotten_below(),
            versions: self.versions.clone(),
            stores: self.stores.clone(),
            partitions: self.partitions.clone(),
            models: self.models.clone(),
            usage_reports: self.usage_reports.clone(),
        }
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration in the snapshot is invalid.
    pub fn from_snapshot(snapshot: &StateSnapshot) -> Result<ControlState, ChangeError> {
        let restore = |(json, fingerprint): &(Vec<u8>, u64)| Configuration::restore(json, *fingerprint);
        let configuration = snapshot.configuration.as_ref().map(restore).transpose();
        Ok(ControlState {
            configuration: configuration.map_err(ChangeError::Invalid)?.map(Arc::new),
            history: ConfigurationHistory::new(snapshot.accepted.clone(), snapshot.forgotten_below),
            versions: snapshot.versions.clone(),
            stores: snapshot.stores.clone(),
            partitions: snapshot.partitions.clone(),
            models: snapshot.models.clone(),
            usage_reports: snapshot.usage_reports.clone(),
        })
    }
}
