//! Long request bodies, many at a time, of any length and rate and at every limit that the platform sets.
mod long_bodies;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use long_bodies::*;
use sockets::*;

/// The corners of the platform's limits.
const CORNERS: [Limits; 4] = [
    limits(32, 256),
    limits(32, 1024),
    limits(192, 256),
    limits(192, 1024),
];

const fn limits(memory_mb: u32, sockets: usize) -> Limits {
    Limits { memory_mb, sockets }
}

const fn steady(bytes: usize, chunked: bool, bytes_per_second: f64) -> Body {
    Body {
        bytes,
        chunked,
        bytes_per_second: Some(bytes_per_second),
    }
}

fn start_endpoints() -> Vec<SocketAddr> {
    let start = |_| {
        start_endpoint(|_, stream| {
            thread::sleep(Duration::from_millis(15));
            stream.write_all(ok("done").as_bytes())
        })
    };
    (0..9).map(start).collect()
}

/// Sends bodies from all clients at a time, checks the memory limit, and that each request that was read is answered.
fn check_uploads(limits: Limits, body: Body, duration: Duration) -> Ends {
    let (_discovery, mut proxy) = start_proxy_for(&start_endpoints(), &limits.setup());
    let ends = upload_from_all_clients(proxy.address, &limits, body, duration);
    println!(
        "{limits:?} {body:?}: {ends:?}, peak {:.1} MB",
        proxy.memory_peak_mb() * 1.024
    );
    assert!(proxy.is_running());
    limits.check(&proxy);
    assert_eq!(ends.unanswered, 0, "{ends:?}");
    assert_eq!(ends.failed, 0, "{ends:?}");
    ends
}

/// Guards against room for a body that is allocated before it is reserved: the proxy grew to twice its limit within
/// seconds and was killed with all requests that it had taken.
#[test]
fn bodies_of_two_megabytes_stay_within_the_smallest_limit() {
    let body = steady(2_000_000, false, 1e6);
    check_uploads(limits(32, 256), body, Duration::from_secs(14));
}

/// Guards against the same with bodies whose length is not announced, from as many clients as there may be.
#[test]
fn chunked_bodies_from_the_most_clients_stay_within_the_smallest_limit() {
    let body = steady(300_000, true, 256e3);
    check_uploads(limits(32, 1024), body, Duration::from_secs(6));
}

/// Plays the corners of the limits with bodies of all sizes and rates. `UPLOAD_SWEEP_SECONDS=20` sets how long clients
/// begin requests in each case; without it, one body of each framing is played for a short while.
#[test]
fn bodies_of_any_length_and_rate_stay_within_every_limit() {
    let seconds = std::env::var("UPLOAD_SWEEP_SECONDS").ok();
    let seconds = seconds.map(|text| text.parse::<u64>().expect("a number of seconds"));
    let short = [steady(100_000, false, 64e3), steady(4_000_000, true, 4e6)];
    let lengths = [70_000, 300_000, 1_000_000, 5_000_000, 32_000_000];
    let all = lengths.into_iter().flat_map(|bytes| {
        let rates = [64e3, 256e3, 1e6, 8e6].into_iter().filter(move |rate| {
            let seconds = bytes as f64 / rate;
            seconds <= 40.0
        });
        rates.flat_map(move |rate| [false, true].map(|chunked| steady(bytes, chunked, rate)))
    });
    let bodies: Vec<Body> = if seconds.is_some() {
        all.collect()
    } else {
        short.into()
    };
    for body in bodies {
        for limits in CORNERS {
            check_uploads(limits, body, Duration::from_secs(seconds.unwrap_or(1)));
        }
    }
}
