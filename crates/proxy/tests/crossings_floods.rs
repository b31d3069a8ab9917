//! Exhausted descriptors, clients that send large amounts and disconnect, and many processes that start at once.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use scripted_peer::*;
use sockets::*;

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

#[test]
fn idle_clients_that_exhaust_descriptors_leave_some_for_the_watch_and_for_attempts() {
    // First with the limit of the file, then with a lower limit of the system.
    for setup in [
        Setup {
            sockets: 96,
            max_descriptors: Some(96),
            idle_timeout: 600_000,
            ..Setup::default()
        },
        Setup {
            sockets: 1024,
            max_descriptors: Some(96),
            idle_timeout: 600_000,
            ..Setup::default()
        },
    ] {
        let (old, new) = (
            Backend::new(BackendAction::Write(ok("old"))),
            Backend::new(BackendAction::Write(ok("new"))),
        );
        let agent = ScriptedPeer::new();
        let proxy = Proxy::start(&agent.as_discovery(), &setup);
        let mut watch = agent.next_request();
        watch.start_watch();
        watch.send_chunk(&format!("{}\n", all_up(&[&old])));
        wait_for("/up", || proxy.is_up());
        watch.reset(); // from here on discovery accepts requests and doesn't answer
        let mut unanswered = vec![agent.next_request()];
        let idle: Vec<TcpStream> = (0..160)
            .map(|n| {
                let mut stream =
                    TcpStream::connect(proxy.address).expect("the connection is at least queued");
                stream
                    .write_all(if n % 3 == 0 { b"GET /page" } else { b"" })
                    .expect("the bytes are accepted");
                stream
            })
            .collect();
        let start = (Instant::now(), proxy.cpu_seconds());
        // A client with a request is rejected at worst, and served once idle connections have been closed.
        for n in 0..5 {
            wait_for("an answer of the endpoint", || {
                let mut client = Client::new(&proxy);
                client.send(&page(&format!("r-{n}")));
                let answer = client.answer();
                assert!(
                    answer
                        .as_ref()
                        .is_none_or(|a| [200, 503].contains(&a.status()))
                );
                answer.is_some_and(|a| a.text() == "old")
            });
        }
        assert!(proxy.descriptors() <= 96);
        let (elapsed, cpu) = (
            start.0.elapsed().as_secs_f64(),
            proxy.cpu_seconds() - start.1,
        );
        assert!(
            cpu < 0.5 * elapsed.max(1.0),
            "{cpu} s of CPU time in {elapsed} s"
        );
        // Discovery is back and answers the next request in spite of the idle clients.
        unanswered.extend(std::iter::from_fn(|| agent.try_next_request()));
        let returned = Instant::now();
        let mut request = agent.next_request();
        request.start_watch();
        let lines = [
            host("s-0", old.address, "draining", 0),
            host("s-1", new.address, "up", 0),
        ];
        request.send_chunk(&format!("{}\n", list(2, true, &lines)));
        wait_for("the drain to take effect", || old.closed_count() >= 1);
        assert!(
            returned.elapsed() < Duration::from_secs(6),
            "{:?}",
            returned.elapsed()
        );
        wait_for("an answer of the other endpoint", || {
            let mut client = Client::new(&proxy);
            client.send(&page("r-after"));
            client.answer().is_some_and(|a| a.text() == "new")
        });
        drop(idle);
    }
}

#[test]
fn clients_that_send_large_amounts_and_disconnect_leave_no_state_behind() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, mut proxy) = start_proxy_for(
        &[backend.address],
        &Setup {
            operations_enabled: true,
            memory_mb: 64,
            ..Setup::default()
        },
    );
    let garbage = vec![b'x'; 200_000];
    let head = format!("GET /page HTTP/1.1\r\n{}", "X: y\r\n".repeat(30_000));
    let (pages, large) = (
        page("r-1").repeat(1000),
        submit("r-2", "5", &"z".repeat(200_000)),
    );
    for n in 0..120 {
        let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
        stream
            .set_write_timeout(Some(Duration::from_millis(100)))
            .expect("the option is set");
        let text = [
            &garbage[..],
            head.as_bytes(),
            pages.as_bytes(),
            &large.as_bytes()[..150_000],
        ][n % 4];
        let _ = stream.write_all(text); // as much as is accepted
        if n % 3 == 0 {
            reset_on_close(&stream);
        }
    }
    wait_for("their requests and connections to end", || {
        proxy.metric("node_current") == 0.0 && proxy.descriptors() < 40
    });
    assert_eq!(status(Client::new(&proxy).ask(&page("r-after"))), 200);
    assert!(proxy.memory_peak_mb() < 64.0 && proxy.is_running());
}

#[test]
fn nine_in_ten_of_thirty_processes_that_start_at_once_are_ready_within_ten_seconds() {
    const PROCESSES: usize = 30;
    let backend = Backend::new(BackendAction::Write(ok("")));
    let all = all_up(&[&backend]);
    // Discovery answers after 1.5 s; never, to processes that remember a list; after 3 s, to processes that remember none.
    for (turn, return_after, known) in [(1500, 0, false), (0, 0, true), (0, 3000, false)] {
        let discovery = Discovery::new();
        discovery
            .response_delay_ms
            .store(turn, std::sync::atomic::Ordering::SeqCst);
        let setup = Setup {
            cached_list: if known { all.clone() } else { "null".into() },
            ..Setup::default()
        };
        // All start at once, each timed from its own start.
        let starts: Vec<_> = (0..PROCESSES)
            .map(|_| {
                let (address, cached_list) = (discovery.address, setup.cached_list.clone());
                thread::spawn(move || {
                    let start = Instant::now();
                    let setup = Setup {
                        cached_list,
                        ..Setup::default()
                    };
                    let proxy = Proxy::with(&config(address, &setup));
                    wait_for("/up", || proxy.is_up());
                    (start.elapsed(), proxy)
                })
            })
            .collect();
        let ready = |starts: Vec<thread::JoinHandle<(Duration, Proxy)>>| -> Vec<Duration> {
            starts
                .into_iter()
                .map(|s| s.join().expect("the process is ready").0)
                .collect()
        };
        // Processes that remember a list are ready while discovery doesn't answer.
        let mut took = if known {
            ready(starts)
        } else {
            thread::sleep(Duration::from_millis(return_after));
            discovery.publish(&all); // until then the watch is open without data
            ready(starts)
        };
        took.sort();
        assert!(
            took[PROCESSES * 9 / 10] < Duration::from_secs(10),
            "{took:?}"
        );
    }
}
