//! What members write to each other is read as it was written, and what is no message is none.

use cluster::message;
use cluster_runtime::message::{Body, Message, Sender};

fn sender() -> Sender {
    Sender {
        name: "a".into(),
        address: "127.0.0.1:1".into(),
        id: 3,
        cluster: "c".into(),
    }
}

#[test]
fn messages_are_read_as_they_were_written() {
    let bodies = [
        Body::Node(7, message::Message::Raft(vec![0, 1, 255])),
        Body::Ask {
            names: vec!["a".into()],
        },
        Body::Tell {
            leader: Some(("a".into(), "b".into())),
            names: Vec::new(),
        },
        Body::Joined(Err("no".into())),
        Body::Reply("1".into(), Ok("{}".into())),
    ];
    for body in bodies {
        let message = Message {
            from: sender(),
            body,
        };
        assert_eq!(Message::read(&message.write()), Some(message));
    }
}

#[test]
fn bytes_by_chance_are_no_messages_and_no_trouble() {
    let mut chance = fastrand::Rng::with_seed(11);
    let whole = Message {
        from: sender(),
        body: Body::Node(7, message::Message::Raft(vec![9; 40])),
    }
    .write();
    for _ in 0..20_000 {
        let mut bytes = whole.clone();
        bytes.truncate(chance.usize(..=whole.len()));
        for _ in 0..chance.usize(..4) {
            if !bytes.is_empty() {
                let at = chance.usize(..bytes.len());
                bytes[at] = chance.u8(..);
            }
        }
        let _ = Message::read(&bytes); // whatever comes of it
    }
    assert_eq!(Message::read(&[]), None);
    assert_eq!(Message::read(b"\x01\xff\xff\xff\xff"), None);
}
