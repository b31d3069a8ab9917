//! An emulated fleet, load, faults and experiments for the proxy and its decision module.
//!
//! A [`scenario::Scenario`] says what is played. A [`world::World`] is the fleet, its list and what goes wrong, with
//! time and seed passed in. [`sim::Sim`] drives it in virtual time and calls the decision module directly; what
//! happened stands in a [`ledger::Ledger`], by which the oracle ([`oracle::judge`]) judges the rules and [`score`]
//! counts the service.
//!
//! It decides nothing about requests and knows nothing of the platform's bench: no figure here is fitted to a
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
