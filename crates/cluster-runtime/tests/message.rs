//! Messages between members are decoded as they were encoded, and invalid bytes are rejected.

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
fn messages_are_decoded_as_they_were_encoded() {
    let bodies = [
        Body::Node(7, message::Message::Raft(vec![0, 1, 255])),
        Body::DiscoveryRequest {
            names: vec!["a".into()],
        },
        Body::DiscoveryReply {
            leader: Some(("a".into(), "b".into())),
            names: Vec::new(),
        },
        Body::JoinReply(Err("no".into())),
        Body::Reply("1".into(), Ok("{}".into())),
    ];
    for body in bodies {
        let message = Message {
            from: sender(),
            body,
        };
        assert_eq!(Message::decode(&message.encode()), Some(message));
    }
}

#[test]
fn invalid_bytes_are_rejected_without_a_panic() {
    let mut random = fastrand::Rng::with_seed(11);
    let encoded = Message {
        from: sender(),
        body: Body::Node(7, message::Message::Raft(vec![9; 40])),
    }
    .encode();
    for _ in 0..20_000 {
        let mut bytes = encoded.clone();
        bytes.truncate(random.usize(..=encoded.len()));
        for _ in 0..random.usize(..4) {
            if !bytes.is_empty() {
                let index = random.usize(..bytes.len());
                bytes[index] = random.u8(..);
            }
        }
        let _ = Message::decode(&bytes); // any result; it must not panic
    }
    assert_eq!(Message::decode(&[]), None);
    assert_eq!(Message::decode(b"\x01\xff\xff\xff\xff"), None);
}
