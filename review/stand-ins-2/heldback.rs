//! Many long answers at a time from slow loan servers. What a server gives of an answer over 64 KiB may be held back
//! for less than 2 s.
mod common;
use common::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const ANSWERS: usize = 56;
const BODY_BYTES: usize = 512 << 10;
const PIECE_BYTES: usize = 4 << 10;
/// 64 kB a second, the page's figure for a slow body.
const PIECE_MS: f64 = 62.5;
/// 2 s, and 50 ms of slack on sockets.
const HELD_BACK_MS: f64 = 2050.0;

type Progress = Arc<Mutex<HashMap<String, Vec<(f64, usize)>>>>;

fn main() {
    begin();
    let agent = Agent::start();
    let written: Progress = Arc::default();
    for n in 0..9 {
        let written = written.clone();
        let address = server(move |request, out| {
            let id = request.id();
            note(&format!("server s-{n} gets {id}"));
            sleep_ms(15.0);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
            if out.write_all(head.as_bytes()).is_err() {
                return false;
            }
            let mut sent = 0;
            while sent < BODY_BYTES {
                let size = PIECE_BYTES.min(BODY_BYTES - sent);
                if out.write_all(&vec![b'x'; size]).is_err() {
                    note(&format!(
                        "server s-{n}: the connection of {id} broke after {sent} bytes"
                    ));
                    return false;
                }
                sent += size;
                written
                    .lock()
                    .unwrap()
                    .entry(id.clone())
                    .or_default()
                    .push((now(), sent));
                if trouble() {
                    sleep_ms(PIECE_MS);
                }
            }
            true
        });
        agent.set(&format!("s-{n}"), entry(&format!("s-{n}"), address, "up", 0.0));
    }
    let proxy = start_proxy(
        agent.address,
        &Deployment {
            sockets: 256,
            memory_mb: 32,
            ..Deployment::default()
        },
    );
    sleep_ms(1500.0);
    let counts: [AtomicU64; 4] = Default::default();
    let [whole, refused, cut, held] = &counts;
    thread::scope(|scope| {
        for _ in 0..ANSWERS {
            let (address, written) = (proxy.address, written.clone());
            scope.spawn(move || {
                let id = next_id();
                let Ok(stream) = TcpStream::connect(address) else {
                    finish(2, "not connected")
                };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(40)));
                let mut reader = Reader::new(stream);
                let _ = reader.stream.write_all(request("lookup", &id, 2.5).as_bytes());
                let sent = now();
                let Ok(Some(head)) = reader.head() else {
                    note(&format!("{id}: no answer"));
                    cut.fetch_add(1, Ordering::Relaxed);
                    return;
                };
                note(&format!("{id}: {} after {:.0} ms", head.first_line, now() - sent));
                if head.status() != 200 {
                    refused.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                let mut progress: Vec<(f64, usize)> = vec![(now(), reader.buffered())];
                let mut part = [0; 16 << 10];
                while progress.last().unwrap().1 < BODY_BYTES {
                    match reader.stream.read(&mut part) {
                        Ok(n @ 1..) => progress.push((now(), progress.last().unwrap().1 + n)),
                        _ => break,
                    }
                }
                let (end, received) = *progress.last().unwrap();
                // For each piece that the server wrote: when had the client got that much?
                let mut longest: f64 = 0.0;
                for (at, size) in written.lock().unwrap().get(&id).into_iter().flatten() {
                    let got = progress
                        .iter()
                        .find(|(_, r)| r >= size)
                        .map_or(f64::INFINITY, |(t, _)| *t);
                    longest = longest.max(got.min(end) - at);
                }
                note(&format!(
                    "{id}: {received} bytes; the longest that a piece was held back: {longest:.0} ms"
                ));
                let counter = if longest > HELD_BACK_MS {
                    note(&format!("LOST: {id} was held back for {longest:.0} ms"));
                    held
                } else if received < BODY_BYTES {
                    cut
                } else {
                    whole
                };
                counter.fetch_add(1, Ordering::Relaxed);
            });
            sleep_ms(10.0);
        }
    });
    proxy.copy_log();
    let [whole, refused, cut, held] = counts.map(AtomicU64::into_inner);
    let text = format!("{ANSWERS} long answers: {whole} whole in time, {refused} refused or failed, {cut} cut off, {held} held back for over 2 s");
    finish(i32::from(held + cut > 0), &text);
}
