//! Many long bodies at a time: clients hold a third of the descriptors, each with a checkout of 64 KiB. The platform
//! kills a proxy that goes over its memory limit.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::rig::*;

const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 672;
/// A third of the descriptors.
const CLIENTS: usize = 224;
const SERVERS: usize = 10;
/// Work of a checkout.
const WORK_MS: u64 = 100;
/// The longest body of the protocol page, and the one of its example.
const LONG: usize = 64 << 10;
const SHORT: usize = 212;
const ROUNDS: usize = 4;
const TIMEOUT: f64 = 2.0;

/// The resident memory of a process in kB.
fn resident(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}

pub fn run(folder: &str) {
    let rig = Rig::new(folder);
    let body = if rig.trouble { LONG } else { SHORT };
    let runs = Arc::new(AtomicU64::new(0));
    let servers: Vec<LoanServer> = (0..SERVERS)
        .map(|n| {
            let name = format!("s-{n}");
            let (server, runs) = (name.clone(), runs.clone());
            let handler = move |request: &Request, stream: &mut std::net::TcpStream| {
                runs.fetch_add(1, Ordering::Relaxed);
                sleep_ms(WORK_MS);
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
    let settings = Settings {
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        ..Settings::default()
    };
    rig.write_config(&config(
        &rig,
        discovery.address,
        &discovery.list(),
        &settings,
    ));
    let mut proxy = rig.start_proxy(discovery.address);
    if !rig.wait_until_up() {
        rig.finish(2, "the proxy was not ready");
    }
    sleep_ms(1500);
    let pid = proxy.pid();
    rig.record.line(format!(
        "platform: the proxy holds {} kB before the load; the limit is {MEMORY_MB} MB",
        resident(pid)
    ));
    let done = Arc::new(AtomicBool::new(false));
    let killed = Arc::new(AtomicBool::new(false));
    // The platform: over the limit the proxy is killed. The limit is taken as 2^20 bytes a MB, the larger reading.
    let platform = {
        let (rig, done, killed) = (rig.clone(), done.clone(), killed.clone());
        std::thread::spawn(move || {
            let (mut peak, mut noted) = (0, 0);
            while !done.load(Ordering::Relaxed) {
                let now = resident(pid);
                peak = peak.max(now);
                if peak > noted + 4096 {
                    noted = peak;
                    rig.record
                        .line(format!("platform: the proxy holds {peak} kB"));
                }
                if now > u64::from(MEMORY_MB) * 1024 && !killed.swap(true, Ordering::Relaxed) {
                    rig.record.line(format!(
                        "platform: {now} kB are over the limit; the proxy is killed"
                    ));
                    signal(pid, SIGKILL);
                    break;
                }
                sleep_ms(10);
            }
            peak
        })
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let rig = rig.clone();
            sleep_ms(2);
            std::thread::spawn(move || {
                let mut ends = Vec::new();
                let Ok(mut client) = Client::connect(rig.listen) else { return vec!["not connected".to_owned()] };
                for _ in 0..ROUNDS {
                    let id = rig.id();
                    let mut bytes = request_head("POST", "checkout", &id, &format!("{n:016x}"), TIMEOUT, Some(body)).into_bytes();
                    bytes.resize(bytes.len() + body, b'x');
                    let sent = client.send(&bytes);
                    let answer = client.read_answer(Instant::now() + Duration::from_secs_f64(TIMEOUT + 0.5));
                    rig.record.line(format!(
                        "client {n}: POST /checkout id {id} body {body}, sent whole: {}, gets {} {}",
                        sent.is_ok(), answer.status, answer.end
                    ));
                    let end = match (answer.whole, sent.is_ok()) {
                        (true, _) => answer.status.to_string(),
                        (false, true) => "no answer".into(),
                        (false, false) => "not sent whole".into(),
                    };
                    ends.push(end);
                    if !answer.whole || answer.closes {
                        break;
                    }
                }
                ends
            })
        })
        .collect();
    let mut ends: BTreeMap<String, u64> = BTreeMap::new();
    for client in clients {
        for end in client.join().unwrap_or_default() {
            *ends.entry(end).or_default() += 1;
        }
    }
    let alive = proxy.runs();
    done.store(true, Ordering::Relaxed);
    let peak = platform.join().unwrap();
    proxy.end();
    let killed = killed.load(Ordering::Relaxed);
    let text = format!(
        "bodies of {body} bytes from {CLIENTS} clients: the proxy held {peak} kB at most with a limit of {MEMORY_MB} MB, killed: {killed}; {} runs; ends of requests {ends:?}",
        runs.load(Ordering::Relaxed)
    );
    if !alive && !killed {
        rig.finish(1, &format!("the proxy ended by itself; {text}"));
    }
    rig.finish(i32::from(killed), &text);
}
