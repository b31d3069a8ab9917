//! Idle clients fill the descriptors. A client that comes then has its connection shut unread or its answer in time.
mod common;
use common::*;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SOCKETS: u32 = 256;
const IDLE_CLIENTS: usize = 256;
const REQUESTS: usize = 40;
const INTERVAL_MS: f64 = 250.0;
const PATIENCE_S: f64 = 1.0;
/// Later than this after its time a request is lost: half a second, and 50 ms of slack on sockets.
const LOST_AFTER_MS: f64 = PATIENCE_S * 1000.0 + 550.0;

fn main() {
    begin();
    let agent = Agent::start();
    for n in 0..9 {
        let address = server(move |request, out| {
            note(&format!(
                "server s-{n} gets {} with X-Timeout {}",
                request.id(),
                request.header("x-timeout").unwrap_or("-")
            ));
            sleep_ms(15.0);
            out.write_all(answer(&format!("answer to {}", request.id())).as_bytes())
                .is_ok()
        });
        agent.set(&format!("s-{n}"), entry(&format!("s-{n}"), address, "up", 0.0));
    }
    let proxy = start_proxy(
        agent.address,
        &Deployment {
            sockets: SOCKETS,
            memory_mb: 64,
            ..Deployment::default()
        },
    );
    sleep_ms(1500.0);
    let over = Arc::new(AtomicBool::new(false));
    let open = Arc::new(AtomicU64::new(0));
    if trouble() {
        for _ in 0..IDLE_CLIENTS {
            let (over, open, address) = (over.clone(), open.clone(), proxy.address);
            thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    if let Ok(mut stream) = TcpStream::connect(address) {
                        open.fetch_add(1, Ordering::Relaxed);
                        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
                        let mut buffer = [0; 512];
                        while matches!(stream.read(&mut buffer), Ok(1..)) {}
                        open.fetch_sub(1, Ordering::Relaxed);
                    }
                    sleep_ms(20.0);
                }
            });
        }
    }
    sleep_ms(300.0);
    note(&format!("{} idle connections are open", open.load(Ordering::Relaxed)));
    let counts: [AtomicU64; 5] = Default::default();
    let [served, refused, shut, late, lost] = &counts;
    thread::scope(|scope| {
        for _ in 0..REQUESTS {
            let address = proxy.address;
            scope.spawn(move || {
                let id = next_id();
                let Ok(mut stream) = TcpStream::connect(address) else {
                    note(&format!("{id}: not connected"));
                    shut.fetch_add(1, Ordering::Relaxed);
                    return;
                };
                let _ = stream.set_nodelay(true);
                let _ = stream.write_all(request("lookup", &id, PATIENCE_S).as_bytes());
                let sent = now();
                note(&format!("{id}: sent on a new connection, X-Timeout {PATIENCE_S}"));
                let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
                let reply = Reader::new(stream).message(false);
                let took = now() - sent;
                let text = match &reply {
                    Ok(Some(reply)) => reply.first_line.clone(),
                    Ok(None) => "closed with no answer".into(),
                    Err(e) => format!("{:?}", e.kind()),
                };
                note(&format!("{id}: {text} after {took:.0} ms"));
                let unread = matches!(&reply, Ok(None))
                    || matches!(&reply, Err(e) if e.kind() == io::ErrorKind::ConnectionReset);
                let counter = if took > LOST_AFTER_MS {
                    note(&format!(
                        "LOST: {id} had neither an answer nor a close by {LOST_AFTER_MS} ms"
                    ));
                    lost
                } else if unread {
                    shut
                } else if took > PATIENCE_S * 1000.0 {
                    late
                } else if reply.is_ok_and(|r| r.is_some_and(|r| r.status() == 200)) {
                    served
                } else {
                    refused
                };
                counter.fetch_add(1, Ordering::Relaxed);
            });
            sleep_ms(INTERVAL_MS);
        }
    });
    over.store(true, Ordering::Relaxed);
    proxy.copy_log();
    let [served, refused, shut, late, lost] = counts.map(AtomicU64::into_inner);
    let text = format!("{REQUESTS} requests: {served} served, {refused} refused or failed, {shut} shut unread, {late} late by up to 0.5 s, {lost} lost");
    finish(i32::from(lost > 0), &text);
}
