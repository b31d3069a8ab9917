//! Unit tests of `capture`.
use ::capture::Line;

use super::*;

fn ring() -> Ring {
    let head = SegmentHeader {
        seed: 255,
        node: "n0".into(),
        started_at: 17.0,
        segment: 0,
    };
    Ring::new(head, "{}", None).expect("short settings")
}

fn host(name: &str, health: &str) -> Host {
    Host {
        host: name.into(),
        dial: "127.0.0.1:1".parse().ok(),
        site: None,
        class: None,
        block: None,
        health: health.into(),
        share: None,
        born_ms: 0.0,
    }
}

fn update_list(ring: &mut Ring, seq: u64, scope: UpdateScope, hosts: &[Host]) {
    ring.update_list(
        &ListUpdate {
            version: Some(seq),
            received_at: 0.0,
            scope,
            endpoint_count: hosts.len(),
        },
        hosts,
    );
}

fn lines(segment: &[u8]) -> Vec<Line> {
    let text = std::str::from_utf8(segment).expect("text");
    text.lines()
        .map(|l| Line::parse(l).unwrap_or_else(|| panic!("{l}")))
        .collect()
}

#[test]
fn the_ring_allocates_its_memory_at_the_start_and_keeps_it() {
    let mut ring = ring();
    let before: Vec<usize> = ring.segments.iter().map(Vec::capacity).collect();
    assert_eq!(before.iter().sum::<usize>(), RING_BYTES);
    for n in 0..30_000 {
        ring.append(
            0.0,
            format!("r {n:016} lookup t sid=- dl=1ms seq=- -> - 503\n").as_bytes(),
        );
    }
    assert!(
        ring.head.segment > SEGMENT_COUNT as u64,
        "the ring has wrapped"
    );
    let after: Vec<usize> = ring.segments.iter().map(Vec::capacity).collect();
    assert_eq!(after, before);
}

#[test]
fn a_wrapped_ring_keeps_the_newest_records_and_self_contained_segments() {
    let mut ring = ring();
    update_list(
        &mut ring,
        1,
        UpdateScope::Full,
        &[host("s-0", "up"), host("s-1", "up")],
    );
    update_list(
        &mut ring,
        2,
        UpdateScope::Delta,
        &[host("s-1", "removed"), host("s-2", "draining")],
    );
    let mut count = 0;
    while ring.head.segment < 6 {
        count += 1;
        ring.append(
            0.0,
            format!("r {count} lookup t sid=- dl=1ms seq=2 -> - 503\n").as_bytes(),
        );
    }
    let all: Vec<Vec<Line>> = ring.segments.iter().map(|s| lines(s)).collect();
    assert_eq!(all.len(), SEGMENT_COUNT);
    let mut ids = Vec::new();
    for (n, segment) in all.iter().enumerate() {
        let Line::Header(head) = &segment[0] else {
            panic!("a head")
        };
        assert_eq!((head.seed, head.segment), (255, n as u64 + 3));
        assert_eq!(segment[1], Line::Settings("{}".into()));
        let Line::ListUpdate(update) = &segment[2] else {
            panic!("the list")
        };
        assert_eq!(
            (update.version, update.scope, update.endpoint_count),
            (Some(2), UpdateScope::Full, 2)
        );
        let Line::Endpoint(last) = &segment[4] else {
            panic!("a server")
        };
        assert_eq!(
            (last.name.as_str(), last.state),
            ("s-2", EndpointState::Draining)
        );
        ids.extend(segment[5..].iter().map(|l| match l {
            Line::Request(r) => r.id.parse::<u64>().expect("a number"),
            other => panic!("{other:?}"),
        }));
    }
    assert_eq!(ids.last(), Some(&count), "the newest record is kept");
    assert!(
        ids.windows(2).all(|w| w[1] == w[0] + 1),
        "the records are consecutive"
    );
}

#[test]
fn a_list_too_long_for_a_header_is_truncated_to_leave_room_for_records() {
    let mut ring = ring();
    let hosts: Vec<Host> = (0..10_000).map(|n| host(&format!("s-{n}"), "up")).collect();
    update_list(&mut ring, 1, UpdateScope::Full, &hosts);
    assert!(
        ring.segments.iter().all(|s| s.len() <= MAX_HEADER_BYTES),
        "the list is truncated"
    );
    ring.append(0.0, b"r a lookup t sid=- dl=1ms seq=1 -> - 503\n");
    assert!(matches!(
        lines(ring.segments.back().expect("one")).last(),
        Some(Line::Request(_))
    ));
}
