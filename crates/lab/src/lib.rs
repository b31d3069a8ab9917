//! Emulated server fleet, load, faults and experiments for the proxy and its decision module.
//!
//! A [`scenario::Scenario`] describes the load, the fleet and the faults of a run. A [`world::World`] models the fleet,
//! its server list and the faults; time and seed are passed in. [`sim::Sim`] drives it in virtual time and calls the
//! decision module directly. The run is recorded in a [`ledger::Ledger`], from which the oracle
//! ([`oracle::check_rules`]) reports rule violations and [`score`] computes the quality of service.
//!
//! This crate makes no routing decisions and does not know the platform's benchmark: no value here is fitted to a
//! recorded day.

pub mod capacity;
pub mod demo;
pub mod experiment;
pub mod faulty_proxy;
pub mod floods;
pub mod followers;
pub mod ledger;
pub mod load;
pub mod net;
pub mod oracle;
pub mod price;
pub mod random;
pub mod real;
pub mod report;
pub mod scenario;
pub mod score;
pub mod service;
pub mod settings;
pub mod shares;
pub mod shipped;
pub mod sim;
pub mod world;

pub use config_parser::{DocumentError as ScenarioError, Problem, units};
