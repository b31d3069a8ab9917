//! Faults between two updates of a discovery watch: silence, cut connections, failed calls, a new address and a drain.
mod scripted_peer;
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::time::{Duration, Instant};

use scripted_peer::*;
use sockets::*;

/// Time within which the proxy has to know an update once discovery has it and is reachable.
const UPDATE_DELAY_LIMIT: Duration = Duration::from_secs(6);

/// Returns a setup whose idle endpoint connections outlast every wait, so that only a drain closes them.
fn long_idle_timeout() -> Setup {
    Setup {
        idle_timeout: 600_000,
        ..Setup::default()
    }
}

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

/// Returns a list of one endpoint, spread over many lines.
fn indented(seq: u64, whole: bool, backend: &Backend, health: &str) -> String {
    let line = list(seq, whole, &[host("s-0", backend.address, health, 0)]);
    let text = line
        .replace('{', "{\n\t")
        .replace(',', ",\n\n    ")
        .replace('}', "\r\n}");
    assert!(text.lines().count() > 15);
    text
}

/// Starts a proxy whose agent has sent a list of this endpoint, and returns the watch.
fn proxy_with_watch(agent: &ScriptedPeer, backend: &Backend) -> (Proxy, ReceivedRequest) {
    let proxy = Proxy::start(&agent.as_discovery(), &long_idle_timeout());
    let mut watch = agent.next_request();
    assert!(!watch.resumes());
    watch.start_watch();
    watch.send_chunk(&format!("{}\n", all_up(&[backend])));
    wait_for("/up", || proxy.is_up());
    assert_eq!(status(Client::new(&proxy).ask(&page("r-first"))), 200);
    (proxy, watch)
}

/// Sends a drain on this watch and waits until the connections to the endpoint are closed.
fn expect_drain(mut watch: ReceivedRequest, backend: &Backend) {
    if watch.message.first.contains("watch=1") {
        watch.start_watch();
        watch.send_chunk(&format!(
            "{}\n",
            list(9, true, &[host("s-0", backend.address, "draining", 0)])
        ));
    }
    wait_for("the drain to take effect", || backend.closed_count() == 1);
}

#[test]
fn a_list_is_read_in_any_layout_and_split_at_any_byte() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let agent = ScriptedPeer::new();
    let proxy = Proxy::start(&agent.as_discovery(), &long_idle_timeout());
    let mut watch = agent.next_request();
    watch.start_watch();
    // Byte by byte, with a blank line before the object and half of the next object after it.
    let (next, after) = (
        indented(2, false, &backend, "draining"),
        indented(3, false, &backend, "up"),
    );
    let (half, rest) = next.split_at(next.len() / 2);
    for byte in format!("\n  {} {half}", indented(1, true, &backend, "up")).bytes() {
        watch.send_chunk(&char::from(byte).to_string());
    }
    wait_for("/up", || proxy.is_up());
    assert_eq!(status(Client::new(&proxy).ask(&page("r-1"))), 200);
    assert_eq!(
        backend.closed_count(),
        0,
        "an incomplete list has no effect"
    );
    watch.send_chunk(rest);
    wait_for("the drain to take effect", || backend.closed_count() == 1);
    // Two objects in one chunk, without a separator.
    watch.send_chunk(&format!(
        "{}{}",
        after,
        indented(4, false, &backend, "draining").replace("s-0", "s-1")
    ));
    wait_for("the endpoint", || {
        status(Client::new(&proxy).ask(&page("r-2"))) == 200
    });
    assert!(
        agent.try_next_request().is_none(),
        "the first watch stays open"
    );
}

#[test]
fn a_silent_watch_is_opened_again_in_time_even_if_several_calls_fail() {
    for partial_object in ["", "{\"seq\":2,\"whole\":false,\"hosts\":[{\"host\":\"s-"] {
        let backend = Backend::new(BackendAction::Write(ok("")));
        let agent = ScriptedPeer::new();
        let (_proxy, mut watch) = proxy_with_watch(&agent, &backend);
        watch.send_chunk("\n");
        let silent_since = Instant::now();
        if !partial_object.is_empty() {
            watch.send_chunk(partial_object); // the watch becomes silent within an object
        }
        // One call is closed, one answered with an error, one with an invalid list, and one hangs.
        agent.next_request().close();
        agent.next_request().write(&empty("503 Busy"));
        let mut third = agent.next_request();
        third.start_watch();
        third.send_chunk("<html>");
        let _unanswered = agent.next_request();
        expect_drain(agent.next_request(), &backend);
        let took = silent_since.elapsed();
        assert!(
            took <= UPDATE_DELAY_LIMIT,
            "{took:?} after {partial_object:?}"
        );
    }
}

#[test]
fn a_watch_that_opens_without_data_leaves_time_for_another() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let agent = ScriptedPeer::new();
    let (_proxy, _silent) = proxy_with_watch(&agent, &backend);
    let silent_since = Instant::now();
    let mut second = agent.next_request();
    second.start_watch();
    expect_drain(agent.next_request(), &backend);
    assert!(
        silent_since.elapsed() <= UPDATE_DELAY_LIMIT,
        "{:?}",
        silent_since.elapsed()
    );
}

#[test]
fn a_hanging_discovery_is_called_often_enough_to_notice_its_return() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let agent = ScriptedPeer::new();
    let (_proxy, watch) = proxy_with_watch(&agent, &backend);
    watch.reset();
    let unreachable_since = Instant::now();
    let unanswered: Vec<ReceivedRequest> = (0..8).map(|_| agent.next_request()).collect();
    // The limit for a drain counts from the return of discovery, so the calls have to be frequent enough at any time.
    let took = unreachable_since.elapsed();
    assert!(took < UPDATE_DELAY_LIMIT, "eight calls took {took:?}");
    drop(unanswered);
    expect_drain(agent.next_request(), &backend);
}

#[test]
fn a_late_answer_is_used_while_further_calls_are_open() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let agent = ScriptedPeer::new();
    let (proxy, watch) = proxy_with_watch(&agent, &backend);
    watch.close();
    // The first call is answered only after a second one has been opened.
    let first = agent.next_request();
    let _second = agent.next_request();
    expect_drain(first, &backend);
    assert!(proxy.is_up());
}

#[test]
fn the_complete_list_is_requested_from_a_new_address_as_its_versions_may_start_again() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let agents = [ScriptedPeer::new(), ScriptedPeer::new()];
    let (proxy, mut watch) = proxy_with_watch(&agents[0], &backend);
    watch.send_chunk(&format!(
        "{}\n",
        list(41, false, &[host("s-0", backend.address, "up", 0)])
    ));
    // The signal arrives within an object.
    watch.send_chunk("{\"seq\":42,\"whole\":false,\"hosts\":[");
    proxy.reconfigure(&config(agents[1].address, &long_idle_timeout()));
    let mut second = agents[1].next_request();
    assert!(!second.resumes(), "{}", second.message.first);
    second.start_watch();
    second.send_chunk(&format!(
        "{}\n",
        list(3, true, &[host("s-0", backend.address, "up", 0)])
    ));
    second.send_chunk(&format!(
        "{}\n",
        list(4, false, &[host("s-0", backend.address, "draining", 0)])
    ));
    wait_for("the drain to take effect", || backend.closed_count() == 1);
}

#[test]
fn a_starting_process_sends_nothing_by_a_list_older_than_that_of_its_agent() {
    let (old, new) = (
        Backend::new(BackendAction::Write(ok("old"))),
        Backend::new(BackendAction::Write(ok("new"))),
    );
    let agent = ScriptedPeer::new();
    let cached_list = list(1, true, &[host("s-0", old.address, "up", 0)]);
    let proxy = Proxy::start(
        &agent.as_discovery(),
        &Setup {
            cached_list,
            ..Setup::default()
        },
    );
    let mut client = Client::new(&proxy);
    client.send(&page("r-1")); // the request arrives before the list and is queued
    let mut watch = agent.next_request();
    watch.start_watch();
    let lines = [
        host("s-0", old.address, "draining", 0),
        host("s-1", new.address, "up", 0),
    ];
    watch.send_chunk(&format!("{}\n", list(7, true, &lines)));
    assert_eq!(client.answer().expect("an answer").text(), "new");
    assert!(old.seen().is_empty());
}

#[test]
fn a_drain_received_between_two_attempts_applies_to_the_second() {
    let servers = [ScriptedPeer::new(), ScriptedPeer::new()];
    let discovery = Discovery::new();
    let lines = |health: [&str; 2]| {
        [0, 1].map(|i| host(&format!("s-{i}"), servers[i].address, health[i], 0))
    };
    discovery.publish(&list(1, true, &lines(["up", "up"])));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            operations_enabled: true,
            ..Setup::default()
        },
    );
    let mut client = Client::new(&proxy);
    client.send(&page("r-1"));
    let (mut first, other) = loop {
        if let Some(i) = (0..2).find_map(|i| {
            servers[i]
                .try_next_request()
                .map(|request| (request, 1 - i))
        }) {
            break i;
        }
        std::thread::yield_now();
    };
    let mut health = ["up", "up"];
    health[other] = "draining";
    discovery.publish(&list(2, false, &lines(health)));
    discovery.publish(&list(
        3,
        false,
        &[host("s-2", servers[other].address, "draining", 0)],
    ));
    wait_for("the drain to be known", || {
        proxy.metric("node_cluster_size") == 3.0
    });
    first.write(&empty("503 Full\r\nX-Not-Processed: 1"));
    assert_eq!(status(client.answer()), 503);
    assert!(servers[other].try_next_request().is_none());
}
