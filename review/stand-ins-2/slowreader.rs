//! Clients on slow lines read long answers steadily. An answer that has begun has to arrive whole.
mod common;
use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 4;
const BODY_BYTES: usize = 5 << 20;
/// 64 kB a second, the page's figure for a slow body.
const BYTES_PER_MS: f64 = 64.0;
const PIECE_BYTES: usize = 4000;

fn main() {
    begin();
    let agent = Agent::start();
    for n in 0..9 {
        let address = server(move |request, out| {
            sleep_ms(15.0);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
            let written = out.write_all(head.as_bytes()).is_ok() && out.write_all(&vec![b'x'; BODY_BYTES]).is_ok();
            note(&format!(
                "server s-{n}: the answer to {} is written whole: {written}",
                request.id()
            ));
            written
        });
        agent.set(&format!("s-{n}"), entry(&format!("s-{n}"), address, "up", 0.0));
    }
    let proxy = start_proxy(agent.address, &Deployment::default());
    sleep_ms(500.0);
    let counts: [AtomicU64; 3] = Default::default();
    let [whole, unanswered, cut] = &counts;
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            let address = proxy.address;
            scope.spawn(move || {
                let id = next_id();
                let Ok(stream) = TcpStream::connect(address) else {
                    finish(2, "not connected")
                };
                let _ = stream.set_read_timeout(Some(Duration::from_secs(20)));
                let mut reader = Reader::new(stream);
                let _ = reader.stream.write_all(request("lookup", &id, 2.5).as_bytes());
                let head = reader.head().ok().flatten().unwrap_or_default();
                if head.status() != 200 {
                    note(&format!("{id}: {:?}", head.first_line));
                    unanswered.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                let (begun, mut received, mut part) = (now(), reader.buffered(), [0; PIECE_BYTES]);
                note(&format!("{id}: the answer begins"));
                let end = loop {
                    if received == BODY_BYTES {
                        break "whole".to_string();
                    }
                    match reader.stream.read(&mut part) {
                        Ok(0) => break "the proxy has closed the connection".into(),
                        Ok(n) => received += n,
                        Err(e) => break format!("{e}"),
                    }
                    if trouble() {
                        sleep_ms(begun + received as f64 / BYTES_PER_MS - now());
                    }
                };
                note(&format!(
                    "{id}: {received} of {BODY_BYTES} bytes after {:.0} ms: {end}",
                    now() - begun
                ));
                let counter = if received == BODY_BYTES { whole } else { cut };
                counter.fetch_add(1, Ordering::Relaxed);
            });
        }
    });
    proxy.copy_log();
    let [whole, unanswered, cut] = counts.map(AtomicU64::into_inner);
    finish(
        i32::from(cut > 0),
        &format!("{CLIENTS} long answers: {whole} whole, {unanswered} refused or failed, {cut} cut off"),
    );
}
