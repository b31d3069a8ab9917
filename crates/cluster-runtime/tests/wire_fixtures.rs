//! Guards against incompatible changes of the protocol: messages and frames are encoded as by the previous version and decoded from that
//! form.
//!
//! `fixtures/messages.txt` has a line for each message, with its name and its bytes in hexadecimal. `fixtures/frames.txt` has the handshake
//! of a connection and the headers of its first frames.
use cluster::member_lease::{Grant, LeaseDuration, Report};
use cluster::message::{self, DiskCheckReply};
use cluster_runtime::frame::{
    Key, handshake_request, handshake_response, verify_handshake_response,
};
use cluster_runtime::message::{Body, Message, Sender};

const MESSAGES: &str = include_str!("fixtures/messages.txt");
const FRAMES: &str = include_str!("fixtures/frames.txt");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
        .collect()
}

fn bodies() -> Vec<(&'static str, Body)> {
    let node_message = |message| Body::Node(7, message);
    let report = |validation: Option<(&str, Option<&str>)>, fenced_change: Option<&str>| {
        message::Message::Report(Report {
            sequence: (3 << 32) + 9,
            version: fenced_change.map(|_| 12),
            has_no_lease: fenced_change.is_none(),
            validation: validation
                .map(|(change, fault)| (change.to_owned(), fault.map(str::to_owned)).into()),
            fenced_change: fenced_change.map(str::to_owned),
        })
    };
    let grant = |lease_duration| {
        message::Message::Grant(Grant {
            report_sequence: 5,
            version: 1_000_002,
            duration: lease_duration,
        })
    };
    vec![
        (
            "log",
            node_message(message::Message::Raft(vec![8, 8, 16, 7, 24, 1, 255])),
        ),
        ("report-empty", node_message(report(None, None))),
        (
            "report-checked",
            node_message(report(Some(("c1", None)), Some("c1"))),
        ),
        (
            "report-fault",
            node_message(report(Some(("c2", Some("no listener"))), None)),
        ),
        (
            "grant-short",
            node_message(grant(LeaseDuration::DuringChange)),
        ),
        ("grant-lease", node_message(grant(LeaseDuration::Regular))),
        (
            "grant-forever",
            node_message(grant(LeaseDuration::Unlimited)),
        ),
        ("hello", node_message(message::Message::DiskCheck)),
        (
            "welcome",
            node_message(message::Message::DiskCheckReply(DiskCheckReply {
                acknowledged_index: 40,
                term: 6,
                voters: vec![1, 2, 5],
            })),
        ),
        (
            "ask",
            Body::DiscoveryRequest {
                names: vec!["a".into(), "b".into()],
            },
        ),
        (
            "tell-none",
            Body::DiscoveryReply {
                leader: None,
                names: vec!["a".into()],
            },
        ),
        (
            "tell-leader",
            Body::DiscoveryReply {
                leader: Some(("a".into(), "127.0.0.1:1".into())),
                names: Vec::new(),
            },
        ),
        (
            "join",
            Body::Join {
                zone: "east".into(),
                nonce: 77,
            },
        ),
        ("joined", Body::JoinReply(Ok(4))),
        (
            "joined-not",
            Body::JoinReply(Err("a member of this name runs".into())),
        ),
        ("call", Body::Call("k1".into(), "{\"a\":1}".into())),
        ("foreign", Body::ForeignCluster("0123".into())),
        ("reply", Body::Reply("k1".into(), Ok("{}".into()))),
        (
            "reply-error",
            Body::Reply("k1".into(), Err("not known".into())),
        ),
    ]
}

fn sender() -> Sender {
    Sender {
        name: "b".into(),
        address: "127.0.0.1:7102".into(),
        id: 3,
        cluster: "00ff".into(),
    }
}

#[test]
fn messages_are_encoded_and_decoded_as_by_the_previous_version() {
    let mut written = String::new();
    for (name, body) in bodies() {
        let message = Message {
            from: sender(),
            body,
        };
        written += &format!("{name} {}\n", hex(&message.encode()));
    }
    assert_eq!(
        written, MESSAGES,
        "the encoding of messages has changed; it is now:\n{written}"
    );
    let lines: Vec<(&str, &str)> = MESSAGES
        .lines()
        .filter_map(|line| line.split_once(' '))
        .collect();
    assert_eq!(lines.len(), bodies().len());
    for ((name, body), (recorded, line)) in bodies().into_iter().zip(lines) {
        assert_eq!(name, recorded);
        assert_eq!(
            Message::decode(&bytes(line)),
            Some(Message {
                from: sender(),
                body
            }),
            "{name}"
        );
    }
}

#[test]
fn handshakes_and_frames_are_encoded_as_by_the_previous_version() {
    let key = Key::new("loans", b"0123456789abcdef");
    let first = handshake_request(&key, [1; 16]);
    let (reply, mut reader) = handshake_response(&key, &first, [2; 16]).unwrap();
    let mut writer = verify_handshake_response(&key, [1; 16], &reply).unwrap();
    let mut written = format!("opening {}\nanswer {}\n", hex(&first), hex(&reply));
    for message in [&b"one"[..], b"", b"a longer message \x00\xff"] {
        let header = writer.next_header(message).unwrap();
        written += &format!("frame {}\n", hex(&header));
        assert_eq!(reader.verify(&header, message), Ok(()));
    }
    assert_eq!(
        written, FRAMES,
        "the encoding of frames has changed; it is now:\n{written}"
    );
}
