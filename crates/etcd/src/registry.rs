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
use crate::connect::{Connector, MAX_MESSAGE_BYTES, Member, Settings};

/// What a call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Tries of a change that others come in between of.
const MAX_UPDATE_ATTEMPTS: usize = 8;

/// Why something could not be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryError {
    /// No member of etcd answers.
    Unavailable(String),
    /// There is no such server.
    NotFound(String),
    /// Another one has the name.
    NameInUse(String),
    /// etcd says no, or what it has can't be read.
    Rejected(String),
}

impl fmt::Display for RegistryError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RegistryError::Unavailable(why) => write!(f, "etcd can't be reached: {why}"),
            RegistryError::NotFound(name) => write!(f, "there is no server \"{name}\""),
            RegistryError::NameInUse(name) => write!(f, "another server has the name \"{name}\""),
            RegistryError::Rejected(why) => write!(f, "{why}"),
        }
    }
}

impl From<Status> for RegistryError {
    fn from(status: Status) -> Self {
        match status.code() {
            // A connection that breaks under a call is told of as unknown.
            Code::Unavailable | Code::DeadlineExceeded | Code::Unknown | Code::Cancelled => {
                RegistryError::Unavailable(status.to_string())
            }
            _ => RegistryError::Rejected(status.message().to_owned()),
        }
    }
}

/// A server as etcd has it.
#[derive(Clone, Debug, PartialEq)]
pub struct RegisteredEndpoint {
    /// Its name.
    pub name: String,
    /// Its value, or why it is none.
    pub record: Result<EndpointRecord, String>,
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

impl<C: Connector> Registry<C> {
    /// Connects to the first member that answers.
    ///
    /// # Errors
    /// None does.
    pub async fn connect(
        connect: C,
        settings: Settings,
        keys: KeySpace,
    ) -> Result<Self, RegistryError> {
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
    pub async fn reconnect(&mut self) -> Result<(), RegistryError> {
        self.member = any(&self.connect, &self.settings).await?;
        Ok(())
    }

    fn kv(&self) -> KvClient<tonic::transport::Channel> {
        KvClient::new(self.member.channel.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }

    async fn call<T>(
        call: impl Future<Output = Result<tonic::Response<T>, Status>>,
    ) -> Result<T, RegistryError> {
        let answer = timeout(CALL_TIMEOUT, call)
            .await
            .map_err(|_| RegistryError::Unavailable("no answer in time".into()))?;
        Ok(answer?.into_inner())
    }

    /// All servers of the pool.
    ///
    /// # Errors
    /// etcd can't be asked.
    pub async fn list(&self) -> Result<Vec<RegisteredEndpoint>, RegistryError> {
        let mut all = Vec::new();
        let (mut from, mut revision) = (self.keys.endpoint_prefix().as_bytes().to_vec(), 0);
        loop {
            let request = RangeRequest {
                key: from.clone(),
                range_end: range_end(self.keys.endpoint_prefix()),
                limit: self.settings.page_size,
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

    fn listed(&self, kv: &KeyValue) -> Option<RegisteredEndpoint> {
        Some(RegisteredEndpoint {
            name: self.keys.endpoint_name(&kv.key)?.to_owned(),
            record: EndpointRecord::parse(&kv.value).map_err(|e| e.to_string()),
            revision: kv.mod_revision,
            lease: kv.lease,
        })
    }

    async fn get(&self, name: &str) -> Result<Option<KeyValue>, RegistryError> {
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
    ) -> Result<Registration, RegistryError> {
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
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let now = self.get(name).await?;
            let mut entry = entry.clone();
            if let Some(old) = now
                .as_ref()
                .and_then(|kv| EndpointRecord::parse(&kv.value).ok())
            {
                if old.address != entry.address && old.state != EndpointState::Removed {
                    self.revoke(registration.lease).await?;
                    return Err(RegistryError::NameInUse(name.to_owned()));
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
        Err(RegistryError::Rejected(format!(
            "{name} changes all the time"
        )))
    }

    /// Writes a value if its key is still at this revision; 0 if there was none.
    async fn put_if(
        &self,
        name: &str,
        revision: i64,
        entry: &EndpointRecord,
        lease: i64,
    ) -> Result<bool, RegistryError> {
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
    pub async fn keep_alive(&self, registration: Registration) -> RegistryError {
        let (requests, queue) = mpsc::channel(2);
        let mut leases = LeaseClient::new(self.member.channel.clone());
        let call = leases.lease_keep_alive(self.member.request(ReceiverStream::new(queue)));
        let ask = LeaseKeepAliveRequest {
            id: registration.lease,
        };
        // The stream stands once the first renewal has gone out.
        if requests.send(ask).await.is_err() {
            return RegistryError::Unavailable("the stream of renewals has ended".into());
        }
        let mut answers = match timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(answers)) => answers.into_inner(),
            Ok(Err(status)) => return status.into(),
            Err(_) => return RegistryError::Unavailable("no answer in time".into()),
        };
        loop {
            match timeout(registration.ttl / 2, answers.message()).await {
                Ok(Ok(Some(answer))) if answer.ttl > 0 => {}
                Ok(Ok(Some(_))) => return RegistryError::Rejected("the lease has ended".into()),
                Ok(Ok(None)) => {
                    return RegistryError::Unavailable("the stream of renewals has ended".into());
                }
                Ok(Err(status)) => return status.into(),
                Err(_) => return RegistryError::Unavailable("no renewal in time".into()),
            }
            sleep(registration.ttl / 3).await;
            if requests.send(ask).await.is_err() {
                return RegistryError::Unavailable("the stream of renewals has ended".into());
            }
        }
    }

    async fn revoke(&self, lease: i64) -> Result<(), RegistryError> {
        let mut leases = LeaseClient::new(self.member.channel.clone());
        Self::call(leases.lease_revoke(self.member.request(LeaseRevokeRequest { id: lease })))
            .await?;
        Ok(())
    }

    /// Changes a server's state; all else of its value stays as it is, also what this program does not know.
    ///
    /// # Errors
    /// It is not there, or etcd can't be asked.
    pub async fn set_state(&self, name: &str, state: EndpointState) -> Result<(), RegistryError> {
        for _ in 0..MAX_UPDATE_ATTEMPTS {
            let kv = self
                .get(name)
                .await?
                .ok_or_else(|| RegistryError::NotFound(name.to_owned()))?;
            let mut entry = EndpointRecord::parse(&kv.value)
                .map_err(|e| RegistryError::Rejected(format!("{name}: {e}")))?;
            entry.state = state;
            if self.put_if(name, kv.mod_revision, &entry, kv.lease).await? {
                return Ok(());
            }
        }
        Err(RegistryError::Rejected(format!(
            "{name} changes all the time"
        )))
    }

    /// Takes a server away on purpose: its value says so first, so that nobody takes its end for that of a lease.
    ///
    /// # Errors
    /// It is not there, or etcd can't be asked.
    pub async fn deregister(&self, name: &str) -> Result<(), RegistryError> {
        match self.set_state(name, EndpointState::Removed).await {
            // A value that can't be read goes without a word.
            Ok(()) | Err(RegistryError::Rejected(_)) => {}
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
    pub async fn release_retained(&self) -> Result<(), RegistryError> {
        let put = PutRequest {
            key: self.keys.release_key().as_bytes().to_vec(),
            value: b"{}".to_vec(),
            ..PutRequest::default()
        };
        Self::call(self.kv().put(self.member.request(put))).await?;
        Ok(())
    }
}

async fn any<C: Connector>(connect: &C, settings: &Settings) -> Result<Member, RegistryError> {
    let mut why = RegistryError::Unavailable("no endpoint is named".into());
    for endpoint in &settings.endpoints {
        match timeout(CALL_TIMEOUT, connect.connect(endpoint)).await {
            Ok(Ok(channel)) => match Member::new(channel, settings.credentials.clone()).await {
                Ok(member) => return Ok(member),
                Err(status) => why = status.into(),
            },
            Ok(Err(e)) => why = RegistryError::Unavailable(format!("{endpoint}: {e}")),
            Err(_) => why = RegistryError::Unavailable(format!("{endpoint}: no answer in time")),
        }
    }
    Err(why)
}
