//! The store: every revision of every key since the last compaction, and leases.

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

/// How long a token is good.
const TOKEN: Duration = Duration::from_secs(300);

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// All that the members agree on, and how far each has come.
#[derive(Clone, Debug)]
pub struct Store {
    /// Which store it is.
    pub cluster_id: u64,
    /// Counts leaders.
    pub term: u64,
    revision: i64,
    compacted_revision: i64,
    /// Each key's values by revision; none where it was deleted.
    keys: BTreeMap<Vec<u8>, BTreeMap<i64, Option<KeyValue>>>,
    log: Vec<(i64, Event)>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    /// The revision at which a member stands still.
    lagging: Vec<Option<i64>>,
    /// Name and password, where one is asked for.
    pub credentials: Option<(String, String)>,
    /// How long tokens are good.
    pub token_ttl: Duration,
    tokens: BTreeMap<String, Instant>,
}

/// A call that a client would get as an error of gRPC.
pub type StoreResult<T> = Result<T, Box<Status>>;

fn compacted_error() -> Box<Status> {
    Box::new(Status::out_of_range(
        "etcdserver: mvcc: required revision has been compacted",
    ))
}

/// Whether a key is in a range as requests write it: one key, a range, or all from one on.
pub fn in_range(key: &[u8], from: &[u8], end: &[u8]) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        end => key >= from && key < end,
    }
}

impl Store {
    /// An empty store of so many members.
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
            lagging: vec![None; members],
            credentials: None,
            token_ttl: TOKEN,
            tokens: BTreeMap::new(),
        }
    }

    /// The newest revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The revision up to which a member knows everything.
    pub fn applied(&self, member: usize) -> i64 {
        self.lagging
            .get(member)
            .copied()
            .flatten()
            .map_or(self.revision, |at| at.min(self.revision))
    }

    /// A member stands still, or catches up.
    pub fn set_lagging(&mut self, member: usize, lags: bool) {
        self.lagging[member] = lags.then_some(self.revision);
    }

    /// The revision that was compacted.
    pub fn compacted_revision(&self) -> i64 {
        self.compacted_revision
    }

    /// The header of an answer of a member.
    pub fn header(&self, member: usize) -> ResponseHeader {
        ResponseHeader {
            cluster_id: self.cluster_id,
            member_id: member as u64 + 1,
            revision: self.applied(member),
            raft_term: self.term,
        }
    }

    fn value(&self, key: &[u8], at: i64) -> Option<&KeyValue> {
        self.keys.get(key)?.range(..=at).next_back()?.1.as_ref()
    }

    /// A range as a member knows it.
    ///
    /// # Errors
    /// The revision is not kept, or not there yet.
    pub fn range(&self, member: usize, request: &RangeRequest) -> StoreResult<RangeResponse> {
        let now = self.applied(member);
        let at = if request.revision > 0 {
            request.revision
        } else {
            now
        };
        if at < self.compacted_revision {
            return Err(compacted_error());
        }
        if at > now {
            let text = "etcdserver: mvcc: required revision is a future revision";
            return Err(Box::new(Status::out_of_range(text)));
        }
        let all = self.keys.range(request.key.clone()..).map(|(key, _)| key);
        let all = all.filter(|key| in_range(key, &request.key, &request.range_end));
        let mut kvs: Vec<KeyValue> = all.filter_map(|key| self.value(key, at).cloned()).collect();
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
        let old = self.value(key, revision).cloned();
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

    /// Puts a value.
    ///
    /// # Errors
    /// Its lease is not there.
    pub fn put(&mut self, member: usize, request: &PutRequest) -> StoreResult<PutResponse> {
        self.check_lease(request)?;
        self.revision += 1;
        let prev_kv = self.put_at(self.revision, request);
        Ok(PutResponse {
            header: Some(self.header(member)),
            prev_kv,
        })
    }

    fn check_lease(&self, request: &PutRequest) -> StoreResult<()> {
        if request.lease != 0 && !self.leases.contains_key(&request.lease) {
            return Err(Box::new(Status::not_found(
                "etcdserver: requested lease not found",
            )));
        }
        Ok(())
    }

    fn put_at(&mut self, revision: i64, request: &PutRequest) -> Option<KeyValue> {
        let old = self.value(&request.key, revision);
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
        let gone = self.delete_at(self.revision + 1, request);
        if !gone.is_empty() {
            self.revision += 1;
        }
        let deleted = gone.len() as i64;
        let prev_kvs = if request.prev_kv { gone } else { Vec::new() };
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
            .filter(|key| self.value(key, revision).is_some())
            .collect();
        keys.iter()
            .filter_map(|key| self.write(revision, key, None))
            .collect()
    }

    fn holds(&self, compare: &Compare) -> bool {
        let now = self.value(&compare.key, self.revision);
        let number = |f: fn(&KeyValue) -> i64| now.map_or(0, f);
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
                let Some(now) = now else { return false };
                now.value.cmp(v)
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

    /// Runs a transaction; all it writes has one revision.
    ///
    /// # Errors
    /// A lease is not there; nothing is written then.
    pub fn txn(&mut self, member: usize, request: &TxnRequest) -> StoreResult<TxnResponse> {
        let succeeded = request.compare.iter().all(|c| self.holds(c));
        let ops = if succeeded {
            &request.success
        } else {
            &request.failure
        };
        for op in ops {
            if let Some(Request::RequestPut(put)) = &op.request {
                self.check_lease(put)?;
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
                    let gone = self.delete_at(revision, delete);
                    Response::ResponseDeleteRange(DeleteRangeResponse {
                        header: None,
                        deleted: gone.len() as i64,
                        prev_kvs: if delete.prev_kv { gone } else { Vec::new() },
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

    /// Forgets what was before a revision, but for what still holds then.
    ///
    /// # Errors
    /// It is compacted already, or not there yet.
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

    /// Events from one revision up to another.
    pub fn events(&self, from: i64, to: i64) -> impl Iterator<Item = &(i64, Event)> {
        let begin = self.log.partition_point(|(at, _)| *at < from);
        self.log[begin..]
            .iter()
            .take_while(move |(at, _)| *at <= to)
    }

    /// Goes back to what a backup holds; who is asked for a password is as it was.
    pub fn restore(&mut self, backup: Store) {
        let (credentials, tokens) = (self.credentials.take(), std::mem::take(&mut self.tokens));
        *self = Store {
            credentials,
            tokens,
            lagging: vec![None; self.lagging.len()],
            ..backup
        };
    }

    /// Grants a lease; returns its id.
    pub fn grant_lease(&mut self, ttl: Duration, id: i64) -> i64 {
        self.next_lease += 1;
        let id = if id == 0 { self.next_lease } else { id };
        self.leases.insert(
            id,
            Lease {
                ttl,
                ends: Instant::now() + ttl,
                keys: BTreeSet::new(),
            },
        );
        id
    }

    /// Renews a lease; its span, or none if it has ended.
    pub fn renew_lease(&mut self, id: i64) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.ends = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease, and with it its keys, in one revision.
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

    /// Ends leases whose time is over; tells whether any did.
    pub fn expire_leases(&mut self) -> bool {
        let now = Instant::now();
        let over: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        over.iter().for_each(|id| _ = self.revoke_lease(*id));
        !over.is_empty()
    }

    /// Ends all leases now, each in a revision of its own, as after etcd was away for long.
    pub fn expire_all_leases(&mut self) {
        let all: Vec<i64> = self.leases.keys().copied().collect();
        all.into_iter().for_each(|id| _ = self.revoke_lease(id));
    }

    /// A token for a user.
    ///
    /// # Errors
    /// Name or password are wrong.
    pub fn authenticate(&mut self, name: &str, password: &str) -> StoreResult<String> {
        let known = self
            .credentials
            .as_ref()
            .is_some_and(|(n, p)| n == name && p == password);
        if !known {
            let text = "etcdserver: authentication failed, invalid user ID or password";
            return Err(Box::new(Status::invalid_argument(text)));
        }
        let token = format!("{:016x}.{}", fastrand::u64(..), self.revision);
        self.tokens
            .insert(token.clone(), Instant::now() + self.token_ttl);
        Ok(token)
    }

    /// Whether a call with this token may be made.
    ///
    /// # Errors
    /// It may not.
    pub fn check_token(&self, token: Option<&str>) -> StoreResult<()> {
        let good = |t: &str| {
            self.tokens
                .get(t)
                .is_some_and(|ends| Instant::now() < *ends)
        };
        match (&self.credentials, token) {
            (None, _) => Ok(()),
            (Some(_), Some(token)) if good(token) => Ok(()),
            (Some(_), Some(_)) => Err(Box::new(Status::unauthenticated(
                "etcdserver: invalid auth token",
            ))),
            (Some(_), None) => Err(Box::new(Status::invalid_argument(
                "etcdserver: user name is empty",
            ))),
        }
    }
}
