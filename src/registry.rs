//! Configuration in force (mulberryd): a checked set of resources that only newer revisions
//! replace.

use crate::{
    collections::HashMap,
    error::{Error, Result},
    peer::{ConfigWire, VersionedResource},
    resource::{self, Ownership, Resource, Service, Upstream},
    route::RouteTable,
};
use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// One configuration revision, indexed for lookups.
#[derive(Debug, Default)]
pub struct ConfigSnapshot {
    /// Number of the revision, 0 for none.
    pub revision: u64,
    /// All resources.
    pub resources: Vec<VersionedResource>,
    /// Routes in order of precedence.
    pub routes: RouteTable,
    services: HashMap<Arc<str>, Arc<ServiceConfig>>,
}

/// A service with its upstreams and ownership.
#[derive(Debug)]
pub struct ServiceConfig {
    /// The service.
    pub service: Service,
    /// Its upstreams, sorted by name.
    pub upstreams: Vec<Arc<Upstream>>,
    /// How its keys are owned, if they have owners.
    pub ownership: Option<Ownership>,
}

impl ServiceConfig {
    /// Returns an upstream by name.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<&Arc<Upstream>> {
        self.upstreams.iter().find(|u| &*u.name == name)
    }

    /// Returns the upstreams in a data centre.
    pub fn upstreams_in<'a>(&'a self, dc: &'a str) -> impl Iterator<Item = &'a Arc<Upstream>> {
        self.upstreams.iter().filter(move |u| &*u.data_center == dc)
    }
}

impl ConfigSnapshot {
    /// Checks and indexes a set of resources.
    ///
    /// # Errors
    ///
    /// Fails if a resource is not accepted; the error names it and the field.
    pub fn new(revision: u64, resources: Vec<VersionedResource>) -> Result<Self> {
        let plain: Vec<Resource> = resources.iter().map(|r| r.resource.clone()).collect();
        resource::check_all(&plain)?;
        let routes = RouteTable::new(&plain);
        let services = plain.iter().filter_map(|r| match r {
            Resource::Service(s) => Some((s.name.clone(), Arc::new(service_config(s, &plain)))),
            _ => None,
        });
        Ok(Self { revision, routes, services: services.collect(), resources })
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceConfig>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceConfig>> {
        self.services.values()
    }

    /// Returns a resource by `Kind/name`.
    #[must_use]
    pub fn resource(&self, id: &str) -> Option<&VersionedResource> {
        self.resources.iter().find(|r| r.resource.id() == id)
    }
}

fn service_config(service: &Service, all: &[Resource]) -> ServiceConfig {
    let mut upstreams: Vec<Arc<Upstream>> = all
        .iter()
        .filter_map(|r| match r {
            Resource::Upstream(u) if u.service == service.name => Some(Arc::new(u.clone())),
            _ => None,
        })
        .collect();
    upstreams.sort_by(|a, b| a.name.cmp(&b.name));
    let ownership = all.iter().find_map(|r| match r {
        Resource::Ownership(o) if o.service == service.name => Some(o.clone()),
        _ => None,
    });
    ServiceConfig { service: service.clone(), upstreams, ownership }
}

/// A change of resources: all of it is made, or none.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// Resources to create or replace.
    pub apply: Vec<ApplyItem>,
    /// Resources to remove.
    pub delete: Vec<DeleteItem>,
}

/// A resource to create or replace.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyItem {
    /// Version that the resource must have: 0 if it must not exist, any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect: Option<u64>,
    /// The resource.
    pub resource: Resource,
}

/// A resource to remove.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeleteItem {
    /// Version that the resource must have, any if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expect: Option<u64>,
    /// `Kind/name`.
    pub id: String,
}

/// Why a change was not made.
#[derive(Debug)]
pub enum ConfigChangeError {
    /// A resource has another version than expected.
    Conflict {
        /// `Kind/name`.
        id: String,
        /// Its version, 0 if it does not exist.
        current: u64,
    },
    /// The result would not be accepted.
    Invalid(Error),
}

/// The configuration as stored in a row of the platform's table.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoredConfig {
    /// Number of the revision.
    pub revision: u64,
    /// Unique number of the write that made it.
    pub write_id: u64,
    /// All resources.
    pub resources: Vec<VersionedResource>,
}

impl StoredConfig {
    /// Returns the next revision with `change` applied.
    ///
    /// # Errors
    ///
    /// Fails on a version conflict, or if a resource is not accepted; the error names it and the
    /// field.
    pub fn with_change(&self, change: &Change, write_id: u64) -> Result<Self, ConfigChangeError> {
        let revision = self.revision + 1;
        let mut resources = self.resources.clone();
        for item in &change.delete {
            let index = find_index(&resources, &item.id);
            check_version(&resources, index, &item.id, item.expect)?;
            if let Some(n) = index {
                resource::check_delete(&resources[n].resource)
                    .map_err(ConfigChangeError::Invalid)?;
                resources.remove(n);
            }
        }
        for item in &change.apply {
            let id = item.resource.id();
            let index = find_index(&resources, &id);
            check_version(&resources, index, &id, item.expect)?;
            let new = VersionedResource { version: revision, resource: item.resource.clone() };
            match index {
                Some(n) if resources[n].resource == new.resource => {}
                Some(n) => {
                    resource::check_change(&resources[n].resource, &new.resource)
                        .map_err(ConfigChangeError::Invalid)?;
                    resources[n] = new;
                }
                None => resources.push(new),
            }
        }
        resources.sort_by_cached_key(|r| r.resource.id());
        ConfigSnapshot::new(revision, resources.clone()).map_err(ConfigChangeError::Invalid)?;
        Ok(Self { revision, write_id, resources })
    }
}

fn find_index(resources: &[VersionedResource], id: &str) -> Option<usize> {
    resources.iter().position(|r| r.resource.id() == id)
}

fn check_version(
    resources: &[VersionedResource],
    index: Option<usize>,
    id: &str,
    expected: Option<u64>,
) -> Result<(), ConfigChangeError> {
    let current = index.map_or(0, |n| resources[n].version);
    if expected.is_some_and(|v| v != current) {
        return Err(ConfigChangeError::Conflict { id: id.to_owned(), current });
    }
    Ok(())
}

/// Result of [`ConfigRegistry::install_if_newer`].
#[derive(Debug, PartialEq, Eq)]
pub enum InstallResult {
    /// The configuration is in force.
    Installed,
    /// It is not newer than the one in force, which stays.
    NotNewer,
    /// It is not valid; the one in force stays.
    Refused(String),
}

/// Holds the configuration in force.
#[derive(Debug)]
pub struct ConfigRegistry {
    current: ArcSwap<ConfigSnapshot>,
    install_lock: Mutex<()>,
    changed: watch::Sender<u64>,
}

impl Default for ConfigRegistry {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigRegistry {
    /// Creates a registry with an empty configuration at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self {
            current: ArcSwap::default(),
            install_lock: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Arc<ConfigSnapshot> {
        self.current.load_full()
    }

    /// Returns a receiver that sees each new revision number.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Puts a configuration in force if it is newer than the current one and valid.
    pub fn install_if_newer(
        &self,
        revision: u64,
        resources: Vec<VersionedResource>,
    ) -> InstallResult {
        let _guard = self.install_lock.lock().unwrap_or_else(PoisonError::into_inner);
        if revision <= self.current.load().revision {
            return InstallResult::NotNewer;
        }
        match ConfigSnapshot::new(revision, resources) {
            Ok(snapshot) => {
                self.current.store(Arc::new(snapshot));
                self.changed.send_replace(revision);
                InstallResult::Installed
            }
            Err(e) => InstallResult::Refused(e.to_string()),
        }
    }

    /// Returns the wire form of the configuration in force, if it is newer than revision `since`.
    pub(crate) fn wire_if_newer(&self, since: u64) -> Option<ConfigWire> {
        let current = self.current();
        (current.revision > since).then(|| ConfigWire::from(&*current))
    }
}
