//! Bytes that members of the version before send each other are written the same and read the same.
//!
//! `fixtures/messages.txt` holds a line for each message, its name and its bytes in hexadecimal; `fixtures/frames.txt`
//! the bytes that open a link and the heads of the first frames on it.
use cluster::member_lease::{Grant, LeaseDuration, Report};
use cluster::message::{self, DiskCheckReply};
use cluster_runtime::frame::{Key, answer, opened, opening};
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
    let part = |message| Body::Node(7, message);
    let report = |checked: Option<(&str, Option<&str>)>, closed: Option<&str>| {
        message::Message::Report(Report {
            sequence: (3 << 32) + 9,
            version: closed.map(|_| 12),
            has_no_lease: closed.is_none(),
            validation: checked
                .map(|(change, why)| (change.to_owned(), why.map(str::to_owned)).into()),
            fenced_change: closed.map(str::to_owned),
        })
    };
    let grant = |span| {
        message::Message::Grant(Grant {
            report_sequence: 5,
            version: 1_000_002,
            duration: span,
        })
    };
    vec![
        (
            "log",
            part(message::Message::Raft(vec![8, 8, 16, 7, 24, 1, 255])),
        ),
        ("report-empty", part(report(None, None))),
        (
            "report-checked",
            part(report(Some(("c1", None)), Some("c1"))),
        ),
        (
            "report-fault",
            part(report(Some(("c2", Some("no listener"))), None)),
        ),
        ("grant-short", part(grant(LeaseDuration::DuringChange))),
        ("grant-lease", part(grant(LeaseDuration::Regular))),
        ("grant-forever", part(grant(LeaseDuration::Unlimited))),
        ("hello", part(message::Message::DiskCheck)),
        (
            "welcome",
            part(message::Message::DiskCheckReply(DiskCheckReply {
                acknowledged_index: 40,
                term: 6,
                voters: vec![1, 2, 5],
            })),
        ),
        (
            "ask",
            Body::Ask {
                names: vec!["a".into(), "b".into()],
            },
        ),
        (
            "tell-none",
            Body::Tell {
                leader: None,
                names: vec!["a".into()],
            },
        ),
        (
            "tell-leader",
            Body::Tell {
                leader: Some(("a".into(), "127.0.0.1:1".into())),
                names: Vec::new(),
            },
        ),
        (
            "join",
            Body::Join {
                zone: "east".into(),
                drawn: 77,
            },
        ),
        ("joined", Body::Joined(Ok(4))),
        (
            "joined-not",
            Body::Joined(Err("a member of this name runs".into())),
        ),
        ("call", Body::Call("k1".into(), "{\"a\":1}".into())),
        ("foreign", Body::Foreign("0123".into())),
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
fn messages_are_written_and_read_as_by_the_version_before() {
    let mut written = String::new();
    for (name, body) in bodies() {
        let message = Message {
            from: sender(),
            body,
        };
        written += &format!("{name} {}\n", hex(&message.write()));
    }
    assert_eq!(
        written, MESSAGES,
        "messages are written otherwise than before:\n{written}"
    );
    let lines: Vec<(&str, &str)> = MESSAGES
        .lines()
        .filter_map(|line| line.split_once(' '))
        .collect();
    assert_eq!(lines.len(), bodies().len());
    for ((name, body), (recorded, line)) in bodies().into_iter().zip(lines) {
        assert_eq!(name, recorded);
        assert_eq!(
            Message::read(&bytes(line)),
            Some(Message {
                from: sender(),
                body
            }),
            "{name}"
        );
    }
}

#[test]
fn links_are_opened_and_frames_sealed_as_by_the_version_before() {
    let key = Key::new("loans", b"0123456789abcdef");
    let first = opening(&key, [1; 16]);
    let (reply, mut reader) = answer(&key, &first, [2; 16]).unwrap();
    let mut writer = opened(&key, [1; 16], &reply).unwrap();
    let mut written = format!("opening {}\nanswer {}\n", hex(&first), hex(&reply));
    for message in [&b"one"[..], b"", b"a longer message \x00\xff"] {
        let head = writer.seal(message).unwrap();
        written += &format!("frame {}\n", hex(&head));
        assert_eq!(reader.check(&head, message), Ok(()));
    }
    assert_eq!(
        written, FRAMES,
        "frames are written otherwise than before:\n{written}"
    );
}
