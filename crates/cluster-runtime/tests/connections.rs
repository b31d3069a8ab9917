//! Connections over sockets, with unreachable peers and invalid frames, and the log of a member across restarts.
use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster_runtime::frame::{
    HANDSHAKE_REQUEST_BYTES, HANDSHAKE_RESPONSE_BYTES, Key, handshake_request,
    verify_handshake_response,
};
use cluster_runtime::message::{Body, Message, Sender};
use cluster_runtime::transport::Transport;
use config_store::raft_log::{LogBatch, LogContents, RaftLog};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

fn message(n: usize) -> Message {
    let from = Sender {
        name: "a".into(),
        address: "127.0.0.1:1".into(),
        id: 1,
        cluster: "c".into(),
    };
    Message {
        from,
        body: Body::DiscoveryRequest {
            names: vec!["n".repeat(n)],
        },
    }
}

async fn transport(key: &Key) -> (Transport, mpsc::Receiver<Message>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (sender, messages) = mpsc::channel(64);
    (
        Transport::new(key.clone(), listener, sender),
        messages,
        address,
    )
}

#[tokio::test]
async fn messages_arrive_in_order_and_an_unreachable_peer_blocks_nobody() {
    let key = Key::new("c", b"0123456789abcdef");
    let (mut local, _, _) = transport(&key).await;
    let (remote, mut messages, address) = transport(&key).await;
    for n in [1, 100_000, 3] {
        local.send("b", &address, &message(n));
        assert_eq!(messages.recv().await.unwrap(), message(n));
    }
    assert_eq!(local.counters().messages_sent.load(Ordering::Relaxed), 3);
    // Messages for an unreachable peer are dropped and do not delay others.
    local.send("unreachable", "127.0.0.1:1", &message(1));
    while local.counters().messages_dropped.load(Ordering::Relaxed) == 0 {
        tokio::task::yield_now().await;
    }
    local.send("b", &address, &message(7));
    assert_eq!(messages.recv().await.unwrap(), message(7));
    assert_eq!(
        remote
            .counters()
            .connections_rejected
            .load(Ordering::Relaxed),
        0
    );
}

#[tokio::test]
async fn a_modified_replayed_or_too_long_message_ends_its_connection() {
    let key = Key::new("c", b"0123456789abcdef");
    let (remote, mut messages, address) = transport(&key).await;
    for (n, invalidity) in ["modified", "replayed", "too long"].iter().enumerate() {
        let mut stream = TcpStream::connect(&address).await.unwrap();
        let nonce = [7; 16];
        let request: [u8; HANDSHAKE_REQUEST_BYTES] = handshake_request(&key, nonce);
        stream.write_all(&request).await.unwrap();
        let mut response = [0; HANDSHAKE_RESPONSE_BYTES];
        stream.read_exact(&mut response).await.unwrap();
        let mut authenticator = verify_handshake_response(&key, nonce, &response).unwrap();
        let mut bytes = message(5).encode();
        let mut header = authenticator.next_header(&bytes).unwrap();
        stream.write_all(&header).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        assert_eq!(
            messages.recv().await.unwrap(),
            message(5),
            "a valid message is accepted first"
        );
        match *invalidity {
            "modified" => {
                header = authenticator.next_header(&bytes).unwrap();
                let last = bytes.len() - 1;
                bytes[last] ^= 1;
            }
            "too long" => header[..4].copy_from_slice(&u32::MAX.to_le_bytes()),
            _ => {}
        }
        let _ = stream.write_all(&header).await; // the connection may be closed already
        let _ = stream.write_all(&bytes).await;
        let closed = timeout(Duration::from_secs(10), stream.read(&mut [0; 8]))
            .await
            .unwrap();
        assert!(matches!(closed, Ok(0) | Err(_)), "{invalidity}");
        while remote
            .counters()
            .connections_rejected
            .load(Ordering::Relaxed) as usize
            <= n
        {
            tokio::task::yield_now().await;
        }
    }
    assert!(messages.try_recv().is_err());
}

#[test]
fn a_log_contains_the_written_entries_and_no_replaced_ones() {
    let directory = std::env::temp_dir().join(format!("canvascart-log-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory); // left by an earlier run
    let entry = |n: u64, text: &str| (n, text.as_bytes().to_vec());
    let (mut log, contents) = RaftLog::open(&directory).unwrap();
    assert_eq!(
        contents,
        LogContents {
            start_count: 1,
            ..LogContents::default()
        }
    );
    assert!(
        RaftLog::open(&directory).is_err(),
        "only one process can open it at a time"
    );
    let snapshot = LogBatch {
        snapshot: Some((1, b"s")),
        identity: Some(b"me"),
        ..LogBatch::default()
    };
    log.write(snapshot).unwrap();
    let entries = [entry(2, "two"), entry(3, "three"), entry(4, "four")];
    log.write(LogBatch {
        entries: &entries,
        hard_state: Some(b"h"),
        ..LogBatch::default()
    })
    .unwrap();
    log.write(LogBatch {
        entries: &[entry(3, "other")],
        ..LogBatch::default()
    })
    .unwrap();
    drop(log);
    let (mut log, contents) = RaftLog::open(&directory).unwrap();
    let texts = |l: &LogContents| -> Vec<String> {
        l.entries
            .iter()
            .map(|e| String::from_utf8(e.clone()).unwrap())
            .collect()
    };
    assert_eq!(
        (texts(&contents), contents.start_count),
        (vec!["two".into(), "other".into()], 2)
    );
    assert_eq!(
        (contents.hard_state.as_deref(), contents.identity.as_deref()),
        (Some(&b"h"[..]), Some(&b"me"[..]))
    );
    // A compacted log starts after the snapshot. A snapshot from another member replaces the whole log.
    log.write(LogBatch {
        snapshot: Some((2, b"t")),
        ..LogBatch::default()
    })
    .unwrap();
    drop(log);
    let (mut log, contents) = RaftLog::open(&directory).unwrap();
    assert_eq!(
        (texts(&contents), contents.snapshot.as_deref()),
        (vec!["other".into()], Some(&b"t"[..]))
    );
    log.write(LogBatch {
        snapshot: Some((9, b"u")),
        discard_following: true,
        ..LogBatch::default()
    })
    .unwrap();
    log.write(LogBatch {
        entries: &[entry(10, "ten")],
        ..LogBatch::default()
    })
    .unwrap();
    drop(log);
    let (log, contents) = RaftLog::open(&directory).unwrap();
    assert_eq!(texts(&contents), ["ten"]);
    drop(log);
    std::fs::write(
        directory.join(config_store::raft_log::FILE_NAME),
        b"no database",
    )
    .unwrap();
    assert!(
        RaftLog::open(&directory).is_err(),
        "a damaged log is reported"
    );
    std::fs::remove_dir_all(&directory).unwrap();
}
