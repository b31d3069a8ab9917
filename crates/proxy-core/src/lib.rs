//! The reverse proxy as a library: clients, backends, discovery and peers on sockets, every decision in the
//! module `balancer`.
//!
//! It decides nothing about requests: the driver feeds the module with what the sockets see and does what it says,
//! in order. [`process::main`] is a whole proxy, started as the platform starts it; [`service`] carries several pools in
//! one process, each a decision module with its driver.

pub mod account;
pub mod backoff;
mod capture;
pub mod clock;
mod config;
mod connection;
mod discovery;
mod drills;
mod driver;
mod figures;
pub mod framing;
mod frontend;
pub mod gate;
mod hosts;
mod inbox;
mod inherited;
pub mod json_stream;
pub mod lifecycle;
mod line_writer;
pub mod load_report;
mod log;
mod message;
mod ops;
mod peers;
pub mod pool;
pub mod process;
pub mod service;
mod stream;
mod upstream;
mod vars;

use log::note;
