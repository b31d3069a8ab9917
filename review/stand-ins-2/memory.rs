//! Many clients send long bodies at a time. The proxy has to stay under its memory limit; over it the platform kills it.
mod common;
use common::*;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const MEMORY_MB: u32 = 32;
const LIMIT_BYTES: u64 = (MEMORY_MB as u64) << 20;
const SOCKETS: u32 = 256;
/// A third of the descriptors.
const CLIENTS: u64 = 85;
const BODY_BYTES: usize = 2_000_000;
const SMALL_BODY_BYTES: usize = 212;
const PIECE_BYTES: usize = 16_000;
const BYTES_PER_MS: f64 = 1000.0;
const LENGTH_MS: f64 = 60_000.0;

/// Memory of a process in bytes; pages that it shares with others count in part.
fn memory_of(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/smaps_rollup")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("Pss:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok())
        .unwrap_or(0)
        * 1024
}

/// Sends a checkout and reads its answer; returns its status and whether the connection ends.
fn checkout(stream: &mut TcpStream) -> io::Result<(u16, bool)> {
    let size = if trouble() { BODY_BYTES } else { SMALL_BODY_BYTES };
    let head = request("checkout", &next_id(), 2.0).replace("Content-Length: 0", &format!("Content-Length: {size}"));
    stream.write_all(head.as_bytes())?;
    let (begun, mut sent) = (now(), 0);
    while sent < size {
        let piece = PIECE_BYTES.min(size - sent);
        stream.write_all(&[b'b'; PIECE_BYTES][..piece])?;
        sent += piece;
        sleep_ms(begun + sent as f64 / BYTES_PER_MS - now());
    }
    let reply = Reader::new(stream.try_clone()?)
        .message(false)?
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok((
        reply.status(),
        reply
            .header("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close")),
    ))
}

fn main() {
    begin();
    let agent = Agent::start();
    for n in 0..9 {
        let address = server(move |_, out| {
            sleep_ms(15.0);
            out.write_all(answer("done").as_bytes()).is_ok()
        });
        agent.set(&format!("s-{n}"), entry(&format!("s-{n}"), address, "up", 0.0));
    }
    let mut proxy = start_proxy(
        agent.address,
        &Deployment {
            memory_mb: MEMORY_MB,
            sockets: SOCKETS,
            ..Deployment::default()
        },
    );
    sleep_ms(500.0);
    let (address, pid) = (proxy.address, proxy.pid());
    if memory_of(pid) == 0 {
        finish(2, "the memory of the proxy can't be read");
    }
    let over = AtomicBool::new(false);
    let counts: [AtomicU64; 4] = Default::default();
    let mut peak = 0;
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            let ([served, refused, failed, ended], over) = (&counts, &over);
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let Ok(mut stream) = TcpStream::connect(address) else {
                        sleep_ms(50.0);
                        continue;
                    };
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
                    let _ = stream.set_write_timeout(Some(Duration::from_secs(6)));
                    loop {
                        let result = checkout(&mut stream);
                        let counter = match &result {
                            Ok((200, _)) => served,
                            Ok((429 | 503, _)) => refused,
                            Ok(_) => failed,
                            Err(_) => ended,
                        };
                        counter.fetch_add(1, Ordering::Relaxed);
                        if !matches!(result, Ok((_, false))) || over.load(Ordering::Relaxed) {
                            break;
                        }
                        sleep_ms(100.0);
                    }
                }
            });
        }
        let end = now() + LENGTH_MS;
        let mut last = 0.0;
        while now() < end {
            let memory = memory_of(pid);
            peak = peak.max(memory);
            if now() - last > 1000.0 || memory > LIMIT_BYTES {
                last = now();
                let counts: Vec<u64> = counts.iter().map(|c| c.load(Ordering::Relaxed)).collect();
                note(&format!(
                    "memory of the proxy: {:.1} MB; served, refused, failed, ended: {counts:?}",
                    memory as f64 / 1e6
                ));
            }
            // The platform kills a process over the limit. Here it goes on for a while, so that the record shows how far.
            if peak > LIMIT_BYTES && now() < end - 15_000.0 && last > 0.0 {
                note(&format!(
                    "OVER THE LIMIT: {:.1} MB of {:.1} MB",
                    memory as f64 / 1e6,
                    LIMIT_BYTES as f64 / 1e6
                ));
                for _ in 0..10 {
                    sleep_ms(1000.0);
                    let memory = memory_of(pid);
                    peak = peak.max(memory);
                    note(&format!("memory of the proxy: {:.1} MB", memory as f64 / 1e6));
                }
                proxy.signal(SIGKILL);
                break;
            }
            if proxy.has_ended() {
                break;
            }
            sleep_ms(50.0);
        }
        over.store(true, Ordering::Relaxed);
    });
    proxy.copy_log();
    let [served, refused, failed, ended] = counts.map(AtomicU64::into_inner);
    let text = format!(
        "{served} served, {refused} refused, {failed} failed, {ended} without an answer; the proxy took up to {:.1} MB (limit {MEMORY_MB} MiB = {:.1} MB)",
        peak as f64 / 1e6,
        LIMIT_BYTES as f64 / 1e6
    );
    finish(i32::from(peak > LIMIT_BYTES), &text);
}
