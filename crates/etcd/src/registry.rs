//! Registering servers in etcd: with a lease that ends when their process does, drained, and taken away on purpose.

use std::fmt;
use std::time::Duration;

use endpoint_discovery::{EndpointRecord, EndpointState, KeySpace, range_end};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Status};

use crate::api::compare::{CompareResult, CompareTarget, TargetUnion};
use crate::api::kv_client::KvClient;
use crate::api::lease_client::LeaseClient;
use crate::api::request_op::Request;
use crate::api::{
    Compare, DeleteRangeRequest, KeyValue, LeaseGrantRequest, LeaseKeepAliveRequest,
    LeaseRevokeRequest, PutRequest, RangeRequest, RequestOp, TxnRequest,
};
use crate::connect::{Connect, MOST, Member, Settings};

/// What a call may take.
const CALL: Duration = Duration::from_secs(5);
/// Tries of a change that others come in between of.
const TRIES: usize = 8;

/// Why something could not be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failed {
    /// No member of etcd answers.
    Unreached(String),
    /// There is no such server.
    NotThere(String),
    /// Another one has the name.
    Taken(String),
    /// etcd says no, or what it has can't be read.
    Refused(String),
}

impl fmt::Display for Failed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Failed::Unreached(why) => write!(f, "etcd can't be reached: {why}"),
            Failed::NotThere(name) => write!(f, "there is no server \"{name}\""),
            Failed::Taken(name) => write!(f, "another server has the name \"{name}\""),
            Failed::Refused(why) => write!(f, "{why}"),
        }
    }
}

impl From<Status> for Failed {
    fn from(status: Status) -> Self {
        match status.code() {
            // A connection that breaks under a call is told of as unknown.
            Code::Unavailable | Code::DeadlineExceeded | Code::Unknown | Code::Cancelled => {
                Failed::Unreached(status.to_string())
            }
            _ => Failed::Refused(status.message().to_owned()),
        }
    }
}

/// A server as etcd has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its value, or why it is none.
    pub entry: Result<EndpointRecord, String>,
    /// The revision of its last change.
    pub revision: i64,
    /// Its lease; 0 for none.
    pub lease: i64,
}

/// A registered server's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The lease.
    pub lease: i64,
    /// How long it lasts without being renewed.
    pub ttl: Duration,
}

/// A pool's servers in etcd.
pub struct Registry<C> {
    connect: C,
    settings: Settings,
    keys: KeySpace,
    member: Member,
}

impl<C: Connect> Registry<C> {
    /// Connects to the first member that answers.
    ///
    /// # Errors
    /// None does.
    pub async fn connect(connect: C, settings: Settings, keys: KeySpace) -> Result<Self, Failed> {
        let member = any(&connect, &settings).await?;
        Ok(Registry {
            connect,
            settings,
            keys,
            member,
        })
    }

    /// Connects anew, to whichever member answers.
    ///
    /// # Errors
    /// None does.
    pub async fn reconnect(&mut self) -> Result<(), Failed> {
        self.member = any(&self.connect, &self.settings).await?;
        Ok(())
    }

    fn kv(&self) -> KvClient<tonic::transport::Channel> {
        KvClient::new(self.member.channel.clone()).max_decoding_message_size(MOST)
    }

    async fn call<T>(
        call: impl Future<Output = Result<tonic::Response<T>, Status>>,
    ) -> Result<T, Failed> {
        let answer = timeout(CALL, call)
            .await
            .map_err(|_| Failed::Unreached("no answer in time".into()))?;
        Ok(answer?.into_inner())
    }

    /// All servers of the pool.
    ///
    /// # Errors
    /// etcd can't be asked.
    pub async fn list(&self) -> Result<Vec<Listed>, Failed> {
        let mut all = Vec::new();
        let (mut from, mut revision) = (self.keys.endpoint_prefix().as_bytes().to_vec(), 0);
        loop {
            let request = RangeRequest {
                key: from.clone(),
                range_end: range_end(self.keys.endpoint_prefix()),
                limit: self.settings.page,
                revision,
                ..RangeRequest::default()
            };
            let answer = Self::call(self.kv().range(self.member.request(request))).await?;
            revision =
                answer.header.map_or(
                    revision,
                    |h| if revision == 0 { h.revision } else { revision },
                );
            let Some(last) = answer.kvs.last() else {
                return Ok(all);
            };
            from = [last.key.as_slice(), &[0]].concat();
            all.extend(answer.kvs.iter().filter_map(|kv| self.listed(kv)));
            if !answer.more {
                return Ok(all);
            }
        }
    }

    fn listed(&self, kv: &KeyValue) -> Option<Listed> {
        Some(Listed {
            name: self.keys.endpoint_name(&kv.key)?.to_owned(),
            entry: EndpointRecord::parse(&kv.value).map_err(|e| e.to_string()),
            revision: kv.mod_revision,
            lease: kv.lease,
        })
    }

    async fn get(&self, name: &str) -> Result<Option<KeyValue>, Failed> {
        let request = RangeRequest {
            key: self.keys.endpoint_key(name).into_bytes(),
            ..RangeRequest::default()
        };
        Ok(Self::call(self.kv().range(self.member.request(request)))
            .await?
            .kvs
            .pop())
    }

    /// Registers a server with a lease of its own. A name that another address has is not taken over.
    ///
    /// # Errors
    /// etcd can't be asked, or the name is taken.
    pub async fn register(
        &self,
        name: &str,
        entry: &EndpointRecord,
        ttl: Duration,
    ) -> Result<Registration, Failed> {
        let grant = LeaseGrantRequest {
            ttl: ttl.as_secs().max(1) as i64,
            id: 0,
        };
        let mut leases = LeaseClient::new(self.member.channel.clone());
        let lease = Self::call(leases.lease_grant(self.member.request(grant))).await?;
        let registration = Registration {
            lease: lease.id,
            ttl: Duration::from_secs(lease.ttl.max(1) as u64),
        };
        for _ in 0..TRIES {
            let now = self.get(name).await?;
            let mut entry = entry.clone();
            if let Some(old) = now
                .as_ref()
                .and_then(|kv| EndpointRecord::parse(&kv.value).ok())
            {
                if old.address != entry.address && old.state != EndpointState::Removed {
                    self.revoke(registration.lease).await?;
                    return Err(Failed::Taken(name.to_owned()));
                }
                // What others have written there stays.
                for (key, value) in old.unknown_fields {
                    entry.unknown_fields.entry(key).or_insert(value);
                }
            }
            let revision = now.map_or(0, |kv| kv.mod_revision);
            if self
                .put_if(name, revision, &entry, registration.lease)
                .await?
            {
                return Ok(registration);
            }
        }
        Err(Failed::Refused(format!("{name} changes all the time")))
    }

    /// Writes a value if its key is still at this revision; 0 if there was none.
    async fn put_if(
        &self,
        name: &str,
        revision: i64,
        entry: &EndpointRecord,
        lease: i64,
    ) -> Result<bool, Failed> {
        let key = self.keys.endpoint_key(name).into_bytes();
        let compare = Compare {
            result: CompareResult::Equal as i32,
            target: CompareTarget::Mod as i32,
            key: key.clone(),
            target_union: Some(TargetUnion::ModRevision(revision)),
        };
        let put = PutRequest {
            key,
            value: entry.to_json().into_bytes(),
            lease,
            ..PutRequest::default()
        };
        let request = TxnRequest {
            compare: vec![compare],
            success: vec![RequestOp {
                request: Some(Request::RequestPut(put)),
            }],
            failure: Vec::new(),
        };
        Ok(Self::call(self.kv().txn(self.member.request(request)))
            .await?
            .succeeded)
    }

    /// Renews a lease until that fails, or its end comes near.
    ///
    /// # Errors
    /// Always, in the end: why the lease is not renewed any more.
    pub async fn keep(&self, registration: Registration) -> Failed {
        let (requests, queue) = mpsc::channel(2);
        let mut leases = LeaseClient::new(self.member.channel.clone());
        let call = leases.lease_keep_alive(self.member.request(ReceiverStream::new(queue)));
        let ask = LeaseKeepAliveRequest {
            id: registration.lease,
        };
        // The stream stands once the first renewal has gone out.
        if requests.send(ask).await.is_err() {
            return Failed::Unreached("the stream of renewals has ended".into());
        }
        let mut answers = match timeout(CALL, call).await {
            Ok(Ok(answers)) => answers.into_inner(),
            Ok(Err(status)) => return status.into(),
            Err(_) => return Failed::Unreached("no answer in time".into()),
        };
        loop {
            match timeout(registration.ttl / 2, answers.message()).await {
                Ok(Ok(Some(answer))) if answer.ttl > 0 => {}
                Ok(Ok(Some(_))) => return Failed::Refused("the lease has ended".into()),
                Ok(Ok(None)) => {
                    return Failed::Unreached("the stream of renewals has ended".into());
                }
                Ok(Err(status)) => return status.into(),
                Err(_) => return Failed::Unreached("no renewal in time".into()),
            }
            sleep(registration.ttl / 3).await;
            if requests.send(ask).await.is_err() {
                return Failed::Unreached("the stream of renewals has ended".into());
            }
        }
    }

    async fn revoke(&self, lease: i64) -> Result<(), Failed> {
        let mut leases = LeaseClient::new(self.member.channel.clone());
        Self::call(leases.lease_revoke(self.member.request(LeaseRevokeRequest { id: lease })))
            .await?;
        Ok(())
    }

    /// Changes a server's state; all else of its value stays as it is, also what this program does not know.
    ///
    /// # Errors
    /// It is not there, or etcd can't be asked.
    pub async fn set_state(&self, name: &str, state: EndpointState) -> Result<(), Failed> {
        for _ in 0..TRIES {
            let kv = self
                .get(name)
                .await?
                .ok_or_else(|| Failed::NotThere(name.to_owned()))?;
            let mut entry = EndpointRecord::parse(&kv.value)
                .map_err(|e| Failed::Refused(format!("{name}: {e}")))?;
            entry.state = state;
            if self.put_if(name, kv.mod_revision, &entry, kv.lease).await? {
                return Ok(());
            }
        }
        Err(Failed::Refused(format!("{name} changes all the time")))
    }

    /// Takes a server away on purpose: its value says so first, so that nobody takes its end for that of a lease.
    ///
    /// # Errors
    /// It is not there, or etcd can't be asked.
    pub async fn deregister(&self, name: &str) -> Result<(), Failed> {
        match self.set_state(name, EndpointState::Removed).await {
            // A value that can't be read goes without a word.
            Ok(()) | Err(Failed::Refused(_)) => {}
            Err(e) => return Err(e),
        }
        let request = DeleteRangeRequest {
            key: self.keys.endpoint_key(name).into_bytes(),
            ..DeleteRangeRequest::default()
        };
        Self::call(self.kv().delete_range(self.member.request(request))).await?;
        Ok(())
    }

    /// Lets go of servers that proxies hold because their leases ended together.
    ///
    /// # Errors
    /// etcd can't be asked.
    pub async fn release(&self) -> Result<(), Failed> {
        let put = PutRequest {
            key: self.keys.release_key().as_bytes().to_vec(),
            value: b"{}".to_vec(),
            ..PutRequest::default()
        };
        Self::call(self.kv().put(self.member.request(put))).await?;
        Ok(())
    }
}

async fn any<C: Connect>(connect: &C, settings: &Settings) -> Result<Member, Failed> {
    let mut why = Failed::Unreached("no endpoint is named".into());
    for endpoint in &settings.endpoints {
        match timeout(CALL, connect.connect(endpoint)).await {
            Ok(Ok(channel)) => match Member::new(channel, settings.user.clone()).await {
                Ok(member) => return Ok(member),
                Err(status) => why = status.into(),
            },
            Ok(Err(e)) => why = Failed::Unreached(format!("{endpoint}: {e}")),
            Err(_) => why = Failed::Unreached(format!("{endpoint}: no answer in time")),
        }
    }
    Err(why)
}
