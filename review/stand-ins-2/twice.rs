//! Loan servers with a full queue turn requests away, and some of these answers come a second time, some milliseconds
//! later. No checkout may run twice.
mod common;
use common::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 12;
const LENGTH_MS: f64 = 40_000.0;
const WORK_MS: f64 = 70.0;
/// One of so many requests finds a full queue, and one of so many such answers is spoilt.
const TURNED_AWAY: u64 = 10;
const SPOILT: u64 = 4;
const SECOND_AFTER_MS: f64 = 5.0;
const FULL: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";

fn main() {
    begin();
    let agent = Agent::start();
    let count = Arc::new(AtomicU64::new(0));
    let spoilt = Arc::new(AtomicU64::new(0));
    let runs: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    for n in 0..9 {
        let (count, spoilt, runs) = (count.clone(), spoilt.clone(), runs.clone());
        let address = server(move |request, out| {
            let number = count.fetch_add(1, Ordering::Relaxed);
            if number % TURNED_AWAY == 0 {
                if out.write_all(FULL.as_bytes()).is_err() {
                    return false;
                }
                if trouble() && number / TURNED_AWAY % SPOILT == 0 {
                    sleep_ms(SECOND_AFTER_MS);
                    spoilt.fetch_add(1, Ordering::Relaxed);
                    note(&format!("server s-{n} turns {} away a second time", request.id()));
                    return out.write_all(FULL.as_bytes()).is_ok();
                }
                return true;
            }
            note(&format!("server s-{n} runs {}", request.id()));
            runs.lock()
                .unwrap()
                .entry(request.id())
                .or_default()
                .push(format!("s-{n} at {:.1} ms", now()));
            sleep_ms(WORK_MS);
            out.write_all(answer("done").as_bytes()).is_ok()
        });
        agent.set(&format!("s-{n}"), entry(&format!("s-{n}"), address, "up", 0.0));
    }
    let proxy = start_proxy(agent.address, &Deployment::default());
    sleep_ms(500.0);
    let (served, refused, failed) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let end = now() + LENGTH_MS;
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                let mut connection: Option<Reader> = None;
                while now() < end {
                    let id = next_id();
                    let mut reader = connection.take().unwrap_or_else(|| {
                        let stream =
                            TcpStream::connect(proxy.address).unwrap_or_else(|e| finish(2, &format!("connect: {e}")));
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
                        let _ = stream.set_nodelay(true);
                        Reader::new(stream)
                    });
                    let _ = reader.stream.write_all(request("checkout", &id, 2.0).as_bytes());
                    if let Ok(Some(reply)) = reader.message(false) {
                        let counter = match reply.status() {
                            200 => &served,
                            429 | 503 => &refused,
                            _ => &failed,
                        };
                        counter.fetch_add(1, Ordering::Relaxed);
                        if reply.status() != 200 {
                            note(&format!("{id}: {}", reply.first_line));
                        }
                        let closes = reply
                            .header("connection")
                            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
                        connection = Some(reader).filter(|_| !closes);
                    }
                }
            });
        }
    });
    sleep_ms(500.0);
    proxy.copy_log();
    let runs = runs.lock().unwrap();
    let twice: Vec<_> = runs.iter().filter(|(_, r)| r.len() > 1).collect();
    for (id, places) in &twice {
        note(&format!("TWICE: checkout {id} ran {}", places.join(" and ")));
    }
    let text = format!(
        "{} checkouts ran; {} served, {} refused, {} failed; {} second answers were sent; {} checkouts ran more than once",
        runs.len(),
        served.into_inner(),
        refused.into_inner(),
        failed.into_inner(),
        spoilt.load(Ordering::Relaxed),
        twice.len()
    );
    finish(i32::from(!twice.is_empty()), &text);
}
