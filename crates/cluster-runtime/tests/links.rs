//! Links over sockets: peers that break off, send too much or say nothing, and a member's log over restarts.
use std::sync::atomic::Ordering;
use std::time::Duration;

use cluster_runtime::frame::{ANSWER_BYTES, Key, OPENING_BYTES, opened, opening};
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
        body: Body::Ask {
            names: vec!["n".repeat(n)],
        },
    }
}

async fn transport(key: &Key) -> (Transport, mpsc::Receiver<Message>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (put, messages) = mpsc::channel(64);
    (
        Transport::new(key.clone(), listener, put),
        messages,
        address,
    )
}

#[tokio::test]
async fn messages_come_in_order_also_after_a_link_was_lost() {
    let key = Key::new("c", b"0123456789abcdef");
    let (mut here, _, _) = transport(&key).await;
    let (there, mut messages, address) = transport(&key).await;
    for n in [1, 100_000, 3] {
        here.send("b", &address, &message(n));
        assert_eq!(messages.recv().await.unwrap(), message(n));
    }
    assert_eq!(here.counters().messages_sent.load(Ordering::Relaxed), 3);
    // Nobody is there: what is for it is dropped, and nothing waits.
    here.send("nobody", "127.0.0.1:1", &message(1));
    while here.counters().messages_dropped.load(Ordering::Relaxed) == 0 {
        tokio::task::yield_now().await;
    }
    here.send("b", &address, &message(7));
    assert_eq!(messages.recv().await.unwrap(), message(7));
    assert_eq!(
        there
            .counters()
            .connections_rejected
            .load(Ordering::Relaxed),
        0
    );
}

#[tokio::test]
async fn a_message_that_is_changed_played_again_or_too_long_ends_its_link() {
    let key = Key::new("c", b"0123456789abcdef");
    let (there, mut messages, address) = transport(&key).await;
    for (n, how) in ["changed", "again", "long"].iter().enumerate() {
        let mut stream = TcpStream::connect(&address).await.unwrap();
        let drawn = [7; 16];
        let said: [u8; OPENING_BYTES] = opening(&key, drawn);
        stream.write_all(&said).await.unwrap();
        let mut answer = [0; ANSWER_BYTES];
        stream.read_exact(&mut answer).await.unwrap();
        let mut sealer = opened(&key, drawn, &answer).unwrap();
        let mut bytes = message(5).write();
        let mut head = sealer.seal(&bytes).unwrap();
        stream.write_all(&head).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        assert_eq!(
            messages.recv().await.unwrap(),
            message(5),
            "a good one first"
        );
        match *how {
            "changed" => {
                head = sealer.seal(&bytes).unwrap();
                let last = bytes.len() - 1;
                bytes[last] ^= 1;
            }
            "long" => head[..4].copy_from_slice(&u32::MAX.to_le_bytes()),
            _ => {}
        }
        let _ = stream.write_all(&head).await; // it may have been closed by then
        let _ = stream.write_all(&bytes).await;
        let closed = timeout(Duration::from_secs(10), stream.read(&mut [0; 8]))
            .await
            .unwrap();
        assert!(matches!(closed, Ok(0) | Err(_)), "{how}");
        while there
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
fn a_log_holds_what_was_put_into_it_and_nothing_that_was_replaced() {
    let directory = std::env::temp_dir().join(format!("canvascart-log-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&directory); // of an earlier run
    let entry = |n: u64, text: &str| (n, text.as_bytes().to_vec());
    let (mut log, logged) = RaftLog::open(&directory).unwrap();
    assert_eq!(
        logged,
        LogContents {
            start_count: 1,
            ..LogContents::default()
        }
    );
    assert!(
        RaftLog::open(&directory).is_err(),
        "one process has it at a time"
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
    let (mut log, logged) = RaftLog::open(&directory).unwrap();
    let texts = |l: &LogContents| -> Vec<String> {
        l.entries
            .iter()
            .map(|e| String::from_utf8(e.clone()).unwrap())
            .collect()
    };
    assert_eq!(
        (texts(&logged), logged.start_count),
        (vec!["two".into(), "other".into()], 2)
    );
    assert_eq!(
        (logged.hard_state.as_deref(), logged.identity.as_deref()),
        (Some(&b"h"[..]), Some(&b"me"[..]))
    );
    // Shortened, it begins after the snapshot; another's snapshot takes everything.
    log.write(LogBatch {
        snapshot: Some((2, b"t")),
        ..LogBatch::default()
    })
    .unwrap();
    drop(log);
    let (mut log, logged) = RaftLog::open(&directory).unwrap();
    assert_eq!(
        (texts(&logged), logged.snapshot.as_deref()),
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
    let (log, logged) = RaftLog::open(&directory).unwrap();
    assert_eq!(texts(&logged), ["ten"]);
    drop(log);
    std::fs::write(
        directory.join(config_store::raft_log::FILE_NAME),
        b"no database",
    )
    .unwrap();
    assert!(
        RaftLog::open(&directory).is_err(),
        "a damaged one is told of"
    );
    std::fs::remove_dir_all(&directory).unwrap();
}
