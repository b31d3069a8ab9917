//! Reverse proxy as a library: sockets for clients, endpoints, discovery and peers around the decision module
//! `balancer`.
//!
//! This crate makes no decisions about requests. The driver passes events from the sockets to the balancer and
//! carries out its actions in order. [`process::main`] runs a whole proxy process with one pool; [`service`] runs
//! several pools in one process, each with its own balancer and driver.

pub mod account;
mod attempt_control;
mod attempt_report;
pub mod backoff;
pub mod body_arrival;
pub mod body_buffer;
pub mod body_memory;
mod bounded_read;
mod capture;
mod client_presence;
pub mod clock;
mod config;
mod connection;
mod discovery;
mod drills;
mod driver;
mod exchange;
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
pub mod memory_queue;
mod message;
mod ops;
mod peers;
pub mod pool;
pub mod process;
mod request_body;
mod request_end;
mod request_fields;
pub mod response_arrival;
pub mod service;
mod socket_options;
mod stream;
mod upload;
mod upstream;
mod vars;
mod write_window;

use log::note;
