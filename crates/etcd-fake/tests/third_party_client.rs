//! The etcd-client crate against the fake. Guards against a fake that only confirms this project's own interpretation of the API.
mod harness;

use std::time::Duration;

use etcd_client::{
    Client, Compare, CompareOp, ConnectOptions, DeleteOptions, EventType, GetOptions, PutOptions,
    Txn, TxnOp, WatchOptions,
};
use etcd_fake::FakeEtcd;
use harness::run;

#[test]
fn etcd_client_reads_writes_watches_and_leases() {
    run(async {
        let etcd = FakeEtcd::start(3).await.unwrap();
        let mut client = Client::connect(etcd.endpoints(), None).await.unwrap();
        let put = client.put("/a/1", "one", None).await.unwrap();
        let first = put.header().unwrap().revision();
        client.put("/a/2", "two", None).await.unwrap();
        let replaced = client
            .put("/a/1", "uno", Some(PutOptions::new().with_prev_key()))
            .await
            .unwrap();
        assert_eq!(replaced.prev_key().unwrap().value_str().unwrap(), "one");
        let all = client
            .get("/a/", Some(GetOptions::new().with_prefix()))
            .await
            .unwrap();
        assert_eq!((all.count(), all.more()), (2, false));
        let kv = &all.kvs()[0];
        assert_eq!(
            (kv.version(), kv.create_revision(), kv.mod_revision()),
            (2, first, first + 2)
        );
        let page = client
            .get("/a/", Some(GetOptions::new().with_prefix().with_limit(1)))
            .await
            .unwrap();
        assert_eq!((page.kvs().len(), page.more(), page.count()), (1, true, 2));
        let at_first_revision = client
            .get("/a/1", Some(GetOptions::new().with_revision(first)))
            .await
            .unwrap();
        assert_eq!(at_first_revision.kvs()[0].value_str().unwrap(), "one");

        // A transaction writes in one revision, or runs its else branch.
        let txn = |expected: &str| {
            Txn::new()
                .when([Compare::value("/a/1", CompareOp::Equal, expected)])
                .and_then([
                    TxnOp::put("/a/3", "three", None),
                    TxnOp::delete("/a/2", None),
                ])
                .or_else([TxnOp::get("/a/1", None)])
        };
        assert!(!client.txn(txn("one")).await.unwrap().succeeded());
        let committed = client.txn(txn("uno")).await.unwrap();
        assert!(committed.succeeded());
        let revision = committed.header().unwrap().revision();

        // A watch from a past revision sends all events since then in order; progress requests and cancelling work.
        let options = WatchOptions::new()
            .with_prefix()
            .with_start_revision(first)
            .with_prev_key();
        let (mut watcher, mut stream) = client.watch("/a/", Some(options)).await.unwrap();
        let mut events = Vec::new();
        while events.len() < 5 {
            let response = stream.message().await.unwrap().unwrap();
            for event in response.events() {
                let kv = event.kv().unwrap();
                events.push((
                    event.event_type(),
                    kv.key_str().unwrap().to_owned(),
                    kv.mod_revision(),
                ));
            }
        }
        let expected = [
            (EventType::Put, "/a/1", first),
            (EventType::Put, "/a/2", first + 1),
            (EventType::Put, "/a/1", first + 2),
            (EventType::Put, "/a/3", revision),
            (EventType::Delete, "/a/2", revision),
        ];
        assert_eq!(events, expected.map(|(t, k, r)| (t, k.to_owned(), r)));
        watcher.request_progress().await.unwrap();
        let progress = stream.message().await.unwrap().unwrap();
        assert!(progress.events().is_empty() && progress.header().unwrap().revision() == revision);
        watcher.cancel().await.unwrap();
        while !stream.message().await.unwrap().unwrap().canceled() {}

        // Revoking a lease deletes its keys.
        let lease = client.lease_grant(1, None).await.unwrap().id();
        client
            .put("/a/leased", "x", Some(PutOptions::new().with_lease(lease)))
            .await
            .unwrap();
        let (mut keeper, mut keep_alive_responses) = client.lease_keep_alive(lease).await.unwrap();
        for _ in 0..3 {
            tokio::time::sleep(Duration::from_millis(600)).await;
            keeper.keep_alive().await.unwrap();
            assert_eq!(
                keep_alive_responses.message().await.unwrap().unwrap().ttl(),
                1
            );
        }
        assert_eq!(client.get("/a/leased", None).await.unwrap().count(), 1);
        client.lease_revoke(lease).await.unwrap();
        assert_eq!(client.get("/a/leased", None).await.unwrap().count(), 0);
        let without_lease = client
            .put("/x", "x", Some(PutOptions::new().with_lease(lease)))
            .await;
        assert!(
            without_lease
                .unwrap_err()
                .to_string()
                .contains("requested lease not found")
        );

        // Compacted revisions can't be read, and a watch from one is cancelled with the compaction revision.
        let now = client
            .put("/a/9", "nine", None)
            .await
            .unwrap()
            .header()
            .unwrap()
            .revision();
        client.compact(now, None).await.unwrap();
        let old = client
            .get("/a/1", Some(GetOptions::new().with_revision(first)))
            .await;
        assert!(old.unwrap_err().to_string().contains("has been compacted"));
        let options = WatchOptions::new().with_prefix().with_start_revision(first);
        let (_watcher, mut stream) = client.watch("/a/", Some(options)).await.unwrap();
        let cancelled = stream.message().await.unwrap().unwrap();
        assert!(
            cancelled.canceled() && cancelled.compact_revision() == now,
            "{cancelled:?}"
        );
        let deleted = client
            .delete("/a/", Some(DeleteOptions::new().with_prefix()))
            .await
            .unwrap();
        assert_eq!(deleted.deleted(), 3);
    });
}

#[test]
fn etcd_client_needs_the_password_if_one_is_set() {
    run(async {
        let etcd = FakeEtcd::start(1).await.unwrap();
        etcd.with_store(|s| s.credentials = Some(("me".into(), "secret".into())));
        let right = ConnectOptions::new().with_user("me", "secret");
        let mut client = Client::connect(etcd.endpoints(), Some(right))
            .await
            .unwrap();
        client.put("a", "b", None).await.unwrap();
        let wrong = ConnectOptions::new().with_user("me", "wrong");
        assert!(
            Client::connect(etcd.endpoints(), Some(wrong))
                .await
                .is_err()
        );
        let mut anonymous = Client::connect(etcd.endpoints(), None).await.unwrap();
        assert!(anonymous.get("a", None).await.is_err());
    });
}
