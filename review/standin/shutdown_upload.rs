//! A planned restart while a client sends a long body. The body's last byte comes more than 0.7 s after SIGTERM; the
//! request has to get its final answer before the proxy ends.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::rig::*;

const BODY: usize = 3 << 20;
/// The upload lasts so long, and begins so long before SIGTERM.
const UPLOAD: Duration = Duration::from_millis(4000);
const BEFORE: Duration = Duration::from_millis(1600);
/// What a checkout takes at the loan server.
const WORK_MS: u64 = 1200;
const TIMEOUT: f64 = 2.0;
/// SIGKILL comes no sooner than the longest deadline of the settings, 2.5 s, and 0.7 s more after SIGTERM. Here it
/// leaves the proxy some time more.
const KILL_AFTER: Duration = Duration::from_millis(4000);

pub fn run(folder: &str) {
    let rig = Rig::new(folder);
    let runs = Arc::new(AtomicU64::new(0));
    let servers: Vec<LoanServer> = (0..3)
        .map(|n| {
            let name = format!("s-{n}");
            let (server, runs) = (name.clone(), runs.clone());
            let handler = move |request: &Request, stream: &mut std::net::TcpStream| {
                if request.head.method == "POST" {
                    runs.fetch_add(1, Ordering::Relaxed);
                    sleep_ms(WORK_MS);
                } else {
                    sleep_ms(15);
                }
                stream.write_all(&served(request.head.id(), &server))?;
                Ok(true)
            };
            LoanServer::start(&rig, &name, Arc::new(handler))
        })
        .collect();
    let discovery = Discovery::start(
        rig.record.clone(),
        servers.iter().map(LoanServer::host).collect(),
    );
    rig.write_config(&config(
        &rig,
        discovery.address,
        &discovery.list(),
        &Settings::default(),
    ));
    let mut proxy = rig.start_proxy(discovery.address);
    if !rig.wait_until_up() {
        rig.finish(2, "the proxy was not ready");
    }
    sleep_ms(1500);
    let Ok(mut client) = Client::connect(rig.listen) else {
        rig.finish(2, "no connection")
    };
    let id = rig.id();
    let head = request_head(
        "POST",
        "checkout",
        &id,
        "7f3a9c21e0b4d655",
        TIMEOUT,
        Some(BODY),
    );
    rig.record.line(format!(
        "client: begins POST /checkout id {id}, a body of {BODY} bytes over {UPLOAD:?}"
    ));
    let begun = Instant::now();
    let mut termed = None;
    let mut sent = client.send(head.as_bytes());
    let pieces = 200;
    let piece = vec![b'x'; BODY / pieces];
    for n in 0..pieces {
        let due = begun + UPLOAD * (n as u32 + 1) / pieces as u32;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        if termed.is_none() && begun.elapsed() >= BEFORE {
            termed = Some(Instant::now());
            if rig.trouble {
                proxy.signal(SIGTERM);
            }
        }
        let last = if n + 1 == pieces {
            BODY - piece.len() * n
        } else {
            piece.len()
        };
        sent = sent.and_then(|()| client.send(&vec![b'x'; last]));
    }
    let termed = termed.unwrap();
    if let Err(e) = sent {
        // Then the last byte was never written: the request was not taken.
        proxy.end();
        rig.finish(
            0,
            &format!("the proxy closed the connection before the request's last byte: {e}"),
        );
    }
    let taken = Instant::now();
    rig.record.line(format!(
        "client: the last byte of id {id} is written, {:?} after the time of SIGTERM",
        taken - termed
    ));
    let kill_at = termed + KILL_AFTER;
    let record = rig.record.clone();
    let trouble = rig.trouble;
    let (tx, rx) = std::sync::mpsc::channel();
    let reader = std::thread::spawn(move || {
        let answer = client.read_answer(taken + Duration::from_secs_f64(TIMEOUT + 0.5));
        let at = Instant::now();
        record.line(format!(
            "client: id {id} gets status {} ({} bytes, whole: {}) {} {:?} after its last byte",
            answer.status,
            answer.body_bytes,
            answer.whole,
            answer.end,
            at - taken
        ));
        let _ = tx.send((answer, at));
    });
    if trouble && !proxy.wait(kill_at) {
        proxy.end();
    }
    let _ = reader.join();
    let Ok((answer, at)) = rx.recv() else {
        rig.finish(2, "the client failed")
    };
    proxy.end();
    let text = format!(
        "the request came {:.3} s after SIGTERM and ran {} time(s); it got {} {:.3} s after its last byte",
        (taken - termed).as_secs_f64(),
        runs.load(Ordering::Relaxed),
        if answer.whole { format!("its final answer, {},", answer.status) } else { format!("no answer ({})", answer.end) },
        (at - taken).as_secs_f64()
    );
    rig.finish(i32::from(!answer.whole), &text);
}
