//! Key-value store: all revisions of all keys since the last compaction, and leases.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use etcd::api::compare::{CompareResult, CompareTarget, TargetUnion};
use etcd::api::request_op::Request;
use etcd::api::response_op::Response;
use etcd::api::{
    Compare, DeleteRangeRequest, DeleteRangeResponse, Event, KeyValue, PutRequest, PutResponse,
    RangeRequest, RangeResponse, ResponseHeader, ResponseOp, TxnRequest, TxnResponse, event,
};
use tonic::Status;

/// Default lifetime of a token.
const TOKEN_TTL: Duration = Duration::from_secs(300);

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// State that the members share, and the revision that each member has applied.
#[derive(Clone, Debug)]
pub struct Store {
    /// Cluster ID of the response headers.
    pub cluster_id: u64,
    /// Raft term of the response headers.
    pub term: u64,
    revision: i64,
    compacted_revision: i64,
    /// Values of each key by revision; `None` marks a deletion.
    keys: BTreeMap<Vec<u8>, BTreeMap<i64, Option<KeyValue>>>,
    log: Vec<(i64, Event)>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    /// Revision at which each member is frozen, if any.
    frozen_at: Vec<Option<i64>>,
    /// User name and password, if authentication is required.
    pub credentials: Option<(String, String)>,
    /// Lifetime of new tokens.
    pub token_ttl: Duration,
    /// Set if the database has reached its size limit: values can't be stored, but deleted.
    pub is_space_exceeded: bool,
    /// Number of transactions whose comparisons fail, as after a change by another client.
    pub conflicts: usize,
    tokens: BTreeMap<String, Instant>,
}

/// Result of a call; the error is the gRPC status that the client receives.
pub type StoreResult<T> = Result<T, Box<Status>>;

fn compacted_error() -> Box<Status> {
    Box::new(Status::out_of_range(
        "etcdserver: mvcc: required revision has been compacted",
    ))
}

/// Returns whether a key is in a range in etcd's notation: without an end a single key, with the end `\0` all keys from
/// `from` on.
pub fn in_range(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}

impl Store {
    /// Creates an empty store for `members` members.
    pub fn new(members: usize) -> Self {
        Store {
            cluster_id: 0xca4a_5ca4,
            term: 2,
            revision: 1,
            compacted_revision: 0,
            keys: BTreeMap::new(),
            log: Vec::new(),
            leases: BTreeMap::new(),
            next_lease: 7000,
            frozen_at: vec![None; members],
            credentials: None,
            token_ttl: TOKEN_TTL,
            is_space_exceeded: false,
            conflicts: 0,
            tokens: BTreeMap::new(),
        }
    }

    /// Current revision of the store.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Revision that a member has applied.
    pub fn applied(&self, member: usize) -> i64 {
        self.frozen_at
            .get(member)
            .copied()
            .flatten()
            .map_or(self.revision, |at| at.min(self.revision))
    }

    /// Freezes a member at the current revision, or lets it catch up.
    pub fn set_lagging(&mut self, member: usize, lags: bool) {
        self.frozen_at[member] = lags.then_some(self.revision);
    }

    /// Revision of the last compaction.
    pub fn compacted_revision(&self) -> i64 {
        self.compacted_revision
    }

    /// Returns the response header of a member.
    pub fn header(&self, member: usize) -> ResponseHeader {
        ResponseHeader {
            cluster_id: self.cluster_id,
            member_id: member as u64 + 1,
            revision: self.applied(member),
            raft_term: self.term,
        }
    }

    fn value_at(&self, key: &[u8], at: i64) -> Option<&KeyValue> {
        self.keys.get(key)?.range(..=at).next_back()?.1.as_ref()
    }

    /// Returns a range as of the revision that a member has applied, or of the requested one.
    ///
    /// # Errors
    /// The requested revision has been compacted, or is in the future.
    pub fn range(&self, member: usize, request: &RangeRequest) -> StoreResult<RangeResponse> {
        let applied = self.applied(member);
        let at = if request.revision > 0 {
            request.revision
        } else {
            applied
        };
        if at < self.compacted_revision {
            return Err(compacted_error());
        }
        if at > applied {
            let text = "etcdserver: mvcc: required revision is a future revision";
            return Err(Box::new(Status::out_of_range(text)));
        }
        let keys = self.keys.range(request.key.clone()..).map(|(key, _)| key);
        let keys = keys.filter(|key| in_range(key, &request.key, &request.range_end));
        let mut kvs: Vec<KeyValue> = keys
            .filter_map(|key| self.value_at(key, at).cloned())
            .collect();
        let count = kvs.len() as i64;
        let more = request.limit > 0 && count > request.limit;
        if more {
            kvs.truncate(request.limit as usize);
        }
        if request.keys_only {
            kvs.iter_mut().for_each(|kv| kv.value.clear());
        }
        if request.count_only {
            kvs.clear();
        }
        Ok(RangeResponse {
            header: Some(self.header(member)),
            kvs,
            more,
            count,
        })
    }

    fn write(
        &mut self,
        revision: i64,
        key: &[u8],
        value: Option<(Vec<u8>, i64)>,
    ) -> Option<KeyValue> {
        let old = self.value_at(key, revision).cloned();
        if let Some(lease) = old.as_ref().and_then(|old| self.leases.get_mut(&old.lease)) {
            lease.keys.remove(key);
        }
        let deleted = value.is_none();
        let kv = match value {
            None => KeyValue {
                key: key.to_vec(),
                mod_revision: revision,
                ..KeyValue::default()
            },
            Some((value, lease)) => {
                if let Some(lease) = self.leases.get_mut(&lease) {
                    lease.keys.insert(key.to_vec());
                }
                KeyValue {
                    key: key.to_vec(),
                    value,
                    lease,
                    mod_revision: revision,
                    create_revision: old.as_ref().map_or(revision, |o| o.create_revision),
                    version: old.as_ref().map_or(1, |o| o.version + 1),
                }
            }
        };
        let kind = if deleted {
            event::EventType::Delete
        } else {
            event::EventType::Put
        };
        let stored = (!deleted).then(|| kv.clone());
        self.keys
            .entry(key.to_vec())
            .or_default()
            .insert(revision, stored);
        self.log.push((
            revision,
            Event {
                r#type: kind as i32,
                kv: Some(kv),
                prev_kv: old.clone(),
            },
        ));
        old
    }

    /// Stores a value.
    ///
    /// # Errors
    /// The lease does not exist.
    pub fn put(&mut self, member: usize, request: &PutRequest) -> StoreResult<PutResponse> {
        self.check_put(request)?;
        self.revision += 1;
        let prev_kv = self.put_at(self.revision, request);
        Ok(PutResponse {
            header: Some(self.header(member)),
            prev_kv,
        })
    }

    fn check_put(&self, request: &PutRequest) -> StoreResult<()> {
        if self.is_space_exceeded {
            return Err(Box::new(Status::resource_exhausted(
                "etcdserver: mvcc: database space exceeded",
            )));
        }
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return Err(Box::new(Status::not_found(
                "etcdserver: requested lease not found",
            )));
        }
        Ok(())
    }

    fn put_at(&mut self, revision: i64, request: &PutRequest) -> Option<KeyValue> {
        let old = self.value_at(&request.key, revision);
        let value = if request.ignore_value {
            old.map(|o| o.value.clone())
        } else {
            None
        };
        let lease = if request.ignore_lease {
            old.map(|o| o.lease)
        } else {
            None
        };
        let value = (
            value.unwrap_or_else(|| request.value.clone()),
            lease.unwrap_or(request.lease),
        );
        self.write(revision, &request.key, Some(value))
            .filter(|_| request.prev_kv)
    }

    /// Deletes a range.
    pub fn delete(&mut self, member: usize, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let deleted_values = self.delete_at(self.revision + 1, request);
        if !deleted_values.is_empty() {
            self.revision += 1;
        }
        let deleted = deleted_values.len() as i64;
        let prev_kvs = if request.prev_kv {
            deleted_values
        } else {
            Vec::new()
        };
        DeleteRangeResponse {
            header: Some(self.header(member)),
            deleted,
            prev_kvs,
        }
    }

    fn delete_at(&mut self, revision: i64, request: &DeleteRangeRequest) -> Vec<KeyValue> {
        let keys: Vec<Vec<u8>> = self
            .keys
            .range(request.key.clone()..)
            .map(|(key, _)| key.clone())
            .filter(|key| in_range(key, &request.key, &request.range_end))
            .filter(|key| self.value_at(key, revision).is_some())
            .collect();
        keys.iter()
            .filter_map(|key| self.write(revision, key, None))
            .collect()
    }

    fn comparison_holds(&self, compare: &Compare) -> bool {
        let current = self.value_at(&compare.key, self.revision);
        let number = |field: fn(&KeyValue) -> i64| current.map_or(0, field);
        let order = match (
            &compare.target_union,
            CompareTarget::try_from(compare.target),
        ) {
            (Some(TargetUnion::Version(n)), Ok(CompareTarget::Version)) => {
                number(|k| k.version).cmp(n)
            }
            (Some(TargetUnion::CreateRevision(n)), Ok(CompareTarget::Create)) => {
                number(|k| k.create_revision).cmp(n)
            }
            (Some(TargetUnion::ModRevision(n)), Ok(CompareTarget::Mod)) => {
                number(|k| k.mod_revision).cmp(n)
            }
            (Some(TargetUnion::Lease(n)), Ok(CompareTarget::Lease)) => number(|k| k.lease).cmp(n),
            (Some(TargetUnion::Value(v)), Ok(CompareTarget::Value)) => {
                let Some(current) = current else { return false };
                current.value.cmp(v)
            }
            _ => return false,
        };
        match CompareResult::try_from(compare.result) {
            Ok(CompareResult::Equal) => order.is_eq(),
            Ok(CompareResult::Greater) => order.is_gt(),
            Ok(CompareResult::Less) => order.is_lt(),
            Ok(CompareResult::NotEqual) => order.is_ne(),
            Err(_) => false,
        }
    }

    /// Runs a transaction; all of its writes share one revision.
    ///
    /// # Errors
    /// A lease does not exist, or the database has reached its size limit; then nothing is written.
    pub fn txn(&mut self, member: usize, request: &TxnRequest) -> StoreResult<TxnResponse> {
        let conflicts = self.conflicts > 0;
        self.conflicts = self.conflicts.saturating_sub(1);
        let succeeded = !conflicts && request.compare.iter().all(|c| self.comparison_holds(c));
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        for op in ops {
            if let Some(Request::RequestPut(put)) = &op.request {
                self.check_put(put)?;
            }
        }
        let (revision, before) = (self.revision + 1, self.log.len());
        let mut responses = Vec::new();
        for op in ops {
            let response = match &op.request {
                Some(Request::RequestRange(range)) => {
                    Response::ResponseRange(self.range(member, range)?)
                }
                Some(Request::RequestPut(put)) => Response::ResponsePut(PutResponse {
                    header: None,
                    prev_kv: self.put_at(revision, put),
                }),
                Some(Request::RequestDeleteRange(delete)) => {
                    let deleted_values = self.delete_at(revision, delete);
                    Response::ResponseDeleteRange(DeleteRangeResponse {
                        header: None,
                        deleted: deleted_values.len() as i64,
                        prev_kvs: if delete.prev_kv {
                            deleted_values
                        } else {
                            Vec::new()
                        },
                    })
                }
                None => continue,
            };
            responses.push(ResponseOp {
                response: Some(response),
            });
        }
        if self.log.len() > before {
            self.revision = revision;
        }
        Ok(TxnResponse {
            header: Some(self.header(member)),
            succeeded,
            responses,
        })
    }

    /// Discards all values older than a revision, except those that are current at it.
    ///
    /// # Errors
    /// The revision has been compacted already, or is in the future.
    pub fn compact(&mut self, revision: i64) -> StoreResult<()> {
        if revision <= self.compacted_revision {
            return Err(compacted_error());
        }
        if revision > self.revision {
            let text = "etcdserver: mvcc: required revision is a future revision";
            return Err(Box::new(Status::out_of_range(text)));
        }
        self.compacted_revision = revision;
        self.log.retain(|(at, _)| *at >= revision);
        self.keys.retain(|_, versions| {
            let last = versions
                .range(..=revision)
                .next_back()
                .map(|(at, kv)| (*at, kv.is_some()));
            versions.retain(|at, _| *at > revision || last == Some((*at, true)));
            !versions.is_empty()
        });
        Ok(())
    }

    /// Events of the revisions `from` to `to`, both included.
    pub fn events(&self, from: i64, to: i64) -> impl Iterator<Item = &(i64, Event)> {
        let first = self.log.partition_point(|(at, _)| *at < from);
        self.log[first..]
            .iter()
            .take_while(move |(at, _)| *at <= to)
    }

    /// Replaces the content with a backup's; credentials and tokens stay.
    pub fn restore(&mut self, backup: Store) {
        let (credentials, tokens) = (self.credentials.take(), std::mem::take(&mut self.tokens));
        *self = Store {
            credentials,
            tokens,
            frozen_at: vec![None; self.frozen_at.len()],
            ..backup
        };
    }

    /// Grants a lease and returns its ID.
    pub fn grant_lease(&mut self, ttl: Duration, id: i64) -> i64 {
        self.next_lease += 1;
        let id = if id == 0 { self.next_lease } else { id };
        self.leases.insert(
            id,
            Lease {
                ttl,
                expires_at: Instant::now() + ttl,
                keys: BTreeSet::new(),
            },
        );
        id
    }

    /// Returns the number of leases.
    pub fn lease_count(&self) -> usize {
        self.leases.len()
    }

    /// Renews a lease and returns its TTL, or `None` if it does not exist.
    pub fn renew_lease(&mut self, id: i64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    /// Revokes a lease and deletes its keys in one revision. Returns whether the lease existed.
    pub fn revoke_lease(&mut self, id: i64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        if !lease.keys.is_empty() {
            self.revision += 1;
            for key in lease.keys {
                self.write(self.revision, &key, None);
            }
        }
        true
    }

    /// Revokes expired leases. Returns whether there were any.
    pub fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        expired.iter().for_each(|id| _ = self.revoke_lease(*id));
        !expired.is_empty()
    }

    /// Revokes all leases, each in a revision of its own, as after a long outage of etcd.
    pub fn expire_all_leases(&mut self) {
        let all: Vec<i64> = self.leases.keys().copied().collect();
        all.into_iter().for_each(|id| _ = self.revoke_lease(id));
    }

    /// Issues a token.
    ///
    /// # Errors
    /// The name or the password is wrong.
    pub fn authenticate(&mut self, name: &str, password: &str) -> StoreResult<String> {
        let valid = self
            .credentials
            .as_ref()
            .is_some_and(|(n, p)| n == name && p == password);
        if !valid {
            let text = "etcdserver: authentication failed, invalid user ID or password";
            return Err(Box::new(Status::invalid_argument(text)));
        }
        let token = format!("{:016x}.{}", fastrand::u64(..), self.revision);
        self.tokens
            .insert(token.clone(), Instant::now() + self.token_ttl);
        Ok(token)
    }

    /// Checks the token of a call.
    ///
    /// # Errors
    /// Authentication is required, and the token is missing or invalid.
    pub fn check_token(&self, token: Option<&str>) -> StoreResult<()> {
        let is_valid = |t: &str| {
            self.tokens
                .get(t)
                .is_some_and(|expires_at| Instant::now() < *expires_at)
        };
        match (&self.credentials, token) {
            (None, _) => Ok(()),
            (Some(_), Some(token)) if is_valid(token) => Ok(()),
            (Some(_), Some(_)) => Err(Box::new(Status::unauthenticated(
                "etcdserver: invalid auth token",
            ))),
            (Some(_), None) => Err(Box::new(Status::invalid_argument(
                "etcdserver: user name is empty",
            ))),
        }
    }
}
