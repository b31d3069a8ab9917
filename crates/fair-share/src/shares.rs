//! All that the tenants of one process share, behind the questions that a front asks.

use rustc_hash::FxHashMap;

use crate::flow::{Flow, Terms};
use crate::stock::{Lack, Stock};
use crate::{Millis, Tenant};

/// What tenants share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Resource {
    /// Connections of clients.
    Sockets,
    /// Requests that lack their final answer.
    InFlight,
    /// Bytes of requests and answers held in memory.
    Bytes,
    /// Time of the event loop.
    Time,
    /// Connections of one server that several tenants use.
    Server,
}

impl Resource {
    /// Its name in figures, logs and problem documents.
    pub fn name(self) -> &'static str {
        match self {
            Resource::Sockets => "sockets",
            Resource::InFlight => "in-flight",
            Resource::Bytes => "bytes",
            Resource::Time => "time",
            Resource::Server => "server",
        }
    }
}

/// What the process has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Connections of clients.
    pub sockets: u64,
    /// Requests in flight.
    pub in_flight: u64,
    /// Bytes held for requests and answers.
    pub bytes: u64,
    /// The part of the event loop's time, from 0 to 1, that is shared out to requests that are let in.
    pub time: f64,
    /// The part of it that is shared out to turning others away.
    pub turning: f64,
    /// The part of each stock, from 0 to 1, that tenants beyond their shares leave to those that are idle now.
    pub newcomers: f64,
}

/// A tenant's terms. The caps hold however idle the others are.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caps {
    /// Its share beside the others'.
    pub weight: f64,
    /// Connections of its clients.
    pub sockets: u64,
    /// Its requests in flight.
    pub in_flight: u64,
    /// Bytes held for it.
    pub bytes: u64,
    /// Its part of the event loop's time, from 0 to 1.
    pub time: f64,
    /// The event loop's time that it may use at once after it was idle, in ms.
    pub burst: Millis,
}

impl Default for Caps {
    fn default() -> Self {
        let all = u64::MAX;
        Caps {
            weight: 1.0,
            sockets: all,
            in_flight: all,
            bytes: all,
            time: 1.0,
            burst: 25.0,
        }
    }
}

/// A tenant may not have what it asked for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// What there was too little of.
    pub resource: Resource,
    /// Whether its cap, its share or the whole was too small; none for time.
    pub lack: Option<Lack>,
    /// When it may be worth while to ask again, in ms.
    pub wait: Millis,
}

/// What a tenant holds and has done.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Use {
    /// Connections of its clients.
    pub sockets: u64,
    /// Its requests in flight.
    pub in_flight: u64,
    /// Bytes held for it.
    pub bytes: u64,
    /// The event loop's time that it has used in all, in ms.
    pub time: Millis,
    /// What it was turned away for: sockets, requests in flight, bytes, time, servers.
    pub refused: [u64; 5],
}

/// How fast the means of a tenant's requests follow: by a sixteenth a request.
const MEAN_STEP: f64 = 1.0 / 16.0;
/// The part of a tenant's burst that it may cause in being turned away.
const TURNING: f64 = 0.1;
/// Nobody is asked back sooner, in ms.
const SOONEST: Millis = 1.0;

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    there: bool,
    refused: [u64; 5],
    time: Millis,
    /// How long a request is held, and how many bytes one takes, on average.
    hold: Millis,
    size: f64,
}

/// A server that several tenants use: its connections are a stock of their own.
#[derive(Clone, Debug)]
struct SharedServer {
    stock: Stock,
    members: Vec<Tenant>,
}

/// All shares of one process.
#[derive(Clone, Debug)]
pub struct Shares {
    limits: Limits,
    sockets: Stock,
    in_flight: Stock,
    bytes: Stock,
    time: Flow,
    turning: Flow,
    servers: FxHashMap<u64, SharedServer>,
    accounts: Vec<Account>,
}

impl Shares {
    /// The shares of a process that has so much.
    pub fn new(limits: Limits) -> Self {
        let stock = |capacity| Stock::new(capacity, limits.newcomers);
        Shares {
            limits,
            sockets: stock(limits.sockets),
            in_flight: stock(limits.in_flight),
            bytes: stock(limits.bytes),
            time: Flow::new(limits.time),
            turning: Flow::new(limits.turning),
            servers: FxHashMap::default(),
            accounts: Vec::new(),
        }
    }

    /// Adds a tenant or changes its terms; what it holds it keeps.
    pub fn set(&mut self, now: Millis, tenant: Tenant, caps: &Caps) {
        if self.accounts.len() <= tenant.0 {
            self.accounts.resize(tenant.0 + 1, Account::default());
        }
        if !std::mem::replace(&mut self.accounts[tenant.0].there, true) {
            self.accounts[tenant.0] = Account {
                there: true,
                ..Account::default()
            };
        }
        self.sockets.set(tenant, caps.weight, caps.sockets);
        self.in_flight.set(tenant, caps.weight, caps.in_flight);
        self.bytes.set(tenant, caps.weight, caps.bytes);
        let terms = Terms {
            weight: caps.weight,
            burst: caps.burst,
            cap: caps.time,
        };
        self.time.set(now, tenant, terms);
        self.turning.set(
            now,
            tenant,
            Terms {
                burst: TURNING * caps.burst,
                ..terms
            },
        );
        for server in self.servers.values_mut() {
            if let Some(at) = server.members.iter().position(|m| *m == tenant) {
                server.stock.set(Tenant(at), caps.weight, u64::MAX);
            }
        }
    }

    /// A tenant that was here before comes back: what it has done goes on from there.
    pub fn resume(&mut self, tenant: Tenant, time: Millis, refused: [u64; 5]) {
        if let Some(account) = self.accounts.get_mut(tenant.0) {
            (account.time, account.refused) = (time, refused);
        }
    }

    /// Forgets a tenant. What it holds is still to be given back; its place is free once [`Shares::is_idle`].
    pub fn remove(&mut self, tenant: Tenant) {
        for stock in [&mut self.sockets, &mut self.in_flight, &mut self.bytes] {
            stock.remove(tenant);
        }
        self.time.remove(tenant);
        self.turning.remove(tenant);
        if let Some(account) = self.accounts.get_mut(tenant.0) {
            account.there = false;
        }
    }

    /// Whether a tenant holds nothing.
    pub fn is_idle(&self, tenant: Tenant) -> bool {
        let stocks = [&self.sockets, &self.in_flight, &self.bytes];
        stocks.iter().all(|s| s.held_by(tenant) == 0)
            && self
                .servers
                .values()
                .all(|s| s.place(tenant).is_none_or(|at| s.stock.held_by(at) == 0))
    }

    /// A server with so many connections is used by these tenants, with their weights. A server with one user needs no
    /// share: name none, and it is forgotten. Where others use it that are not here now, one is held to the whole of it.
    pub fn share_server(&mut self, server: u64, connections: u64, members: &[(Tenant, f64)]) {
        let old = self.servers.remove(&server);
        if members.is_empty() {
            return;
        }
        let mut stock = Stock::new(connections, self.limits.newcomers);
        // Who left while it held some stands at the end, until it is not there when the members change again.
        let left = old.iter().flat_map(|o| o.members.iter().copied());
        let left = left.filter(|t| members.iter().all(|(m, _)| m != t));
        let all: Vec<Tenant> = members.iter().map(|(t, _)| *t).chain(left).collect();
        for (at, &tenant) in all.iter().enumerate() {
            let held = old
                .as_ref()
                .and_then(|o| Some(o.stock.held_by(o.place(tenant)?)))
                .unwrap_or(0);
            let weight = members.get(at).map_or(1.0, |(_, weight)| *weight);
            stock.inherit(Tenant(at), weight, held);
            if at >= members.len() {
                stock.remove(Tenant(at));
            }
        }
        self.servers.insert(
            server,
            SharedServer {
                stock,
                members: all,
            },
        );
    }

    /// A connection to a server, if others share it.
    ///
    /// # Errors
    /// The others' shares of the server leave no room for it.
    pub fn to_server(&mut self, now: Millis, tenant: Tenant, server: u64) -> Result<(), Refusal> {
        let Some(shared) = self.servers.get_mut(&server) else {
            return Ok(());
        };
        let Some(at) = shared.place(tenant) else {
            return Ok(());
        };
        let taken = shared.stock.take(now, at, 1);
        taken.map_err(|lack| self.refuse(tenant, Resource::Server, lack))
    }

    /// A connection to a server is free again.
    pub fn from_server(&mut self, tenant: Tenant, server: u64) {
        if let Some(shared) = self.servers.get_mut(&server)
            && let Some(at) = shared.place(tenant)
        {
            shared.stock.give(at, 1);
        }
    }

    /// A client has connected.
    ///
    /// # Errors
    /// Its tenant has no socket left for it.
    pub fn connect(&mut self, now: Millis, tenant: Tenant) -> Result<(), Refusal> {
        let taken = self.sockets.take(now, tenant, 1);
        taken.map_err(|lack| self.refuse(tenant, Resource::Sockets, lack))
    }

    /// A client's connection has ended.
    pub fn disconnect(&mut self, tenant: Tenant) {
        self.sockets.give(tenant, 1);
    }

    /// A request has come whose head and announced body take so many bytes.
    ///
    /// # Errors
    /// What its tenant has too little of; nothing is held then.
    pub fn begin(&mut self, now: Millis, tenant: Tenant, bytes: u64) -> Result<(), Refusal> {
        if let Some(account) = self.accounts.get_mut(tenant.0) {
            account.size += (bytes as f64 - account.size) * MEAN_STEP;
        }
        if let Err(wait) = self.time.admit(now, tenant) {
            self.count(tenant, Resource::Time);
            return Err(Refusal {
                resource: Resource::Time,
                lack: None,
                wait: wait.max(SOONEST),
            });
        }
        if let Err(lack) = self.in_flight.take(now, tenant, 1) {
            return Err(self.refuse(tenant, Resource::InFlight, lack));
        }
        if let Err(lack) = self.bytes.take(now, tenant, bytes) {
            self.in_flight.give(tenant, 1);
            return Err(self.refuse(tenant, Resource::Bytes, lack));
        }
        Ok(())
    }

    /// A request that has begun needs more bytes, for its answer say.
    ///
    /// # Errors
    /// Its tenant has none left.
    pub fn grow(&mut self, now: Millis, tenant: Tenant, bytes: u64) -> Result<(), Refusal> {
        let taken = self.bytes.take(now, tenant, bytes);
        taken.map_err(|lack| self.refuse(tenant, Resource::Bytes, lack))
    }

    /// A request has its final answer and holds its bytes no longer; it was held for so long.
    pub fn end(&mut self, tenant: Tenant, bytes: u64, held: Millis) {
        self.in_flight.give(tenant, 1);
        self.bytes.give(tenant, bytes);
        if let Some(account) = self.accounts.get_mut(tenant.0) {
            account.hold += (held - account.hold) * MEAN_STEP;
        }
    }

    /// The event loop has worked for a tenant, in ms.
    pub fn spent(&mut self, now: Millis, tenant: Tenant, work: Millis) {
        self.time.charge(now, tenant, work);
        if let Some(account) = self.accounts.get_mut(tenant.0) {
            account.time += work;
        }
    }

    /// The event loop has worked to turn a tenant's request away, in ms.
    pub fn turned_away(&mut self, now: Millis, tenant: Tenant, work: Millis) {
        self.turning.charge(now, tenant, work);
        if let Some(account) = self.accounts.get_mut(tenant.0) {
            account.time += work;
        }
    }

    /// Whether a tenant's connections may be read: a request that they bring would be let in, or may at least be turned
    /// away, on that account.
    ///
    /// # Errors
    /// Neither: the span in ms until it may be.
    pub fn may_read(&mut self, now: Millis, tenant: Tenant) -> Result<(), Millis> {
        match self.time.admit(now, tenant) {
            Ok(()) if self.has_room(now, tenant) => Ok(()),
            Ok(()) => self.turning.admit(now, tenant),
            Err(wait) => self
                .turning
                .admit(now, tenant)
                .map_err(|turning| wait.min(turning)),
        }
    }

    /// Whether the stocks have room for a tenant's next request, if it is as large as its requests are on average.
    fn has_room(&mut self, now: Millis, tenant: Tenant) -> bool {
        let size = self.accounts.get(tenant.0).map_or(0.0, |a| a.size) as u64;
        self.in_flight.check(now, tenant, 1).is_ok() && self.bytes.check(now, tenant, size).is_ok()
    }

    /// Whether a tenant's next connection may be taken up: there is a socket for it, or it may at least be closed, on the
    /// account of what is turned away.
    ///
    /// # Errors
    /// Neither: the span in ms until it may be.
    pub fn may_accept(&mut self, now: Millis, tenant: Tenant) -> Result<(), Millis> {
        match self.time.admit(now, tenant) {
            Ok(()) if self.sockets.check(now, tenant, 1).is_ok() => Ok(()),
            _ => self.turning.admit(now, tenant),
        }
    }

    /// What a tenant holds and has done.
    pub fn used(&self, tenant: Tenant) -> Use {
        let account = self.accounts.get(tenant.0).copied().unwrap_or_default();
        Use {
            sockets: self.sockets.held_by(tenant),
            in_flight: self.in_flight.held_by(tenant),
            bytes: self.bytes.held_by(tenant),
            time: account.time,
            refused: account.refused,
        }
    }

    /// A tenant's fair share of a stock as things stand; none for what is no stock.
    pub fn fair(&self, tenant: Tenant, resource: Resource) -> Option<u64> {
        match resource {
            Resource::Sockets => Some(self.sockets.fair(tenant)),
            Resource::InFlight => Some(self.in_flight.fair(tenant)),
            Resource::Bytes => Some(self.bytes.fair(tenant)),
            Resource::Time | Resource::Server => None,
        }
    }

    fn count(&mut self, tenant: Tenant, resource: Resource) {
        if let Some(account) = self.accounts.get_mut(tenant.0) {
            account.refused[resource as usize] += 1;
        }
    }

    /// What was lacking comes back as requests end: by the mean time that one is held, all that is held now will have.
    fn refuse(&mut self, tenant: Tenant, resource: Resource, lack: Lack) -> Refusal {
        self.count(tenant, resource);
        let hold = self.accounts.get(tenant.0).map_or(0.0, |a| a.hold);
        Refusal {
            resource,
            lack: Some(lack),
            wait: hold.max(SOONEST),
        }
    }
}

impl SharedServer {
    fn place(&self, tenant: Tenant) -> Option<Tenant> {
        self.members.iter().position(|m| *m == tenant).map(Tenant)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: Tenant = Tenant(0);
    const B: Tenant = Tenant(1);

    fn two() -> Shares {
        let limits = Limits {
            sockets: 8,
            in_flight: 6,
            bytes: 1000,
            time: 0.5,
            turning: 0.1,
            newcomers: 0.0,
        };
        let mut shares = Shares::new(limits);
        shares.set(0.0, A, &Caps::default());
        shares.set(
            0.0,
            B,
            &Caps {
                in_flight: 2,
                ..Caps::default()
            },
        );
        shares
    }

    #[test]
    fn each_shared_thing_is_refused_by_its_own_name_and_nothing_is_held_then() {
        let mut shares = two();
        (0..8).for_each(|_| shares.connect(0.0, A).unwrap());
        assert_eq!(
            shares.connect(0.0, B).unwrap_err().resource,
            Resource::Sockets
        );
        let big = shares.begin(0.0, A, 1001).unwrap_err();
        assert_eq!(
            (big.resource, big.lack),
            (Resource::Bytes, Some(Lack::Full))
        );
        assert_eq!(shares.used(A).in_flight, 0);
        (0..2).for_each(|_| shares.begin(0.0, B, 10).unwrap());
        let capped = shares.begin(0.0, B, 10).unwrap_err();
        assert_eq!(
            (capped.resource, capped.lack),
            (Resource::InFlight, Some(Lack::Cap))
        );
        shares.spent(0.0, A, 30.0);
        let late = shares.begin(0.0, A, 10).unwrap_err();
        assert_eq!(
            (late.resource, late.wait),
            (Resource::Time, 10.0),
            "5 ms over, at half the loop's time"
        );
        assert_eq!(
            shares.may_read(0.0, A),
            Ok(()),
            "it can still be turned away"
        );
        shares.turned_away(0.0, A, 3.0);
        assert_eq!(
            shares.may_read(0.0, A),
            Err(5.0),
            "half a ms over, at a tenth of the loop's time"
        );
        assert_eq!(shares.used(A).time, 33.0);
        assert_eq!(shares.may_accept(0.0, A), Err(5.0));
        // No room for a request of the other's: it is only read while it may be turned away.
        assert_eq!(shares.may_read(0.0, B), Ok(()));
        shares.turned_away(0.0, B, 3.0);
        assert!(shares.may_read(0.0, B).is_err());
        assert!(shares.may_accept(0.0, B).is_err(), "nor is there a socket");
        assert_eq!(shares.used(A).refused, [0, 0, 1, 1, 0]);
        assert_eq!(shares.used(B).refused, [1, 1, 0, 0, 0]);
    }

    #[test]
    fn all_is_given_back_and_the_mean_hold_tells_when_to_come_back() {
        let mut shares = two();
        for _ in 0..200 {
            (0..2).for_each(|_| shares.begin(0.0, B, 100).unwrap());
            (0..2).for_each(|_| shares.end(B, 100, 40.0));
        }
        (0..2).for_each(|_| shares.begin(0.0, B, 100).unwrap());
        let wait = shares.begin(0.0, B, 100).unwrap_err().wait;
        assert!((wait - 40.0).abs() < 0.1, "{wait}");
        shares.remove(B);
        assert!(!shares.is_idle(B));
        (0..2).for_each(|_| shares.end(B, 100, 40.0));
        assert!(shares.is_idle(B));
    }

    #[test]
    fn to_ask_whether_one_may_be_read_takes_nothing_from_the_others() {
        let mut shares = two();
        (0..3).for_each(|_| shares.begin(0.0, A, 1).unwrap());
        let fair = shares.fair(A, Resource::InFlight);
        assert_eq!(
            (shares.may_read(0.0, B), shares.may_accept(0.0, B)),
            (Ok(()), Ok(()))
        );
        assert_eq!(shares.fair(A, Resource::InFlight), fair);
        (0..3).for_each(|_| shares.begin(0.0, A, 1).unwrap());
    }

    #[test]
    fn a_server_in_common_is_divided_and_one_alone_is_not() {
        let mut shares = two();
        assert_eq!(shares.to_server(0.0, A, 7), Ok(()), "nobody shares it");
        shares.share_server(7, 4, &[(A, 1.0), (B, 1.0)]);
        (0..2).for_each(|_| shares.to_server(0.0, A, 7).unwrap());
        (0..2).for_each(|_| shares.to_server(0.0, B, 7).unwrap());
        assert_eq!(
            shares.to_server(0.0, A, 7).unwrap_err().resource,
            Resource::Server
        );
        shares.from_server(A, 7);
        // Other members: what is held stays held.
        shares.set(0.0, Tenant(2), &Caps::default());
        shares.share_server(7, 4, &[(B, 1.0), (Tenant(2), 1.0)]);
        shares.to_server(0.0, Tenant(2), 7).unwrap();
        assert!(
            shares.to_server(0.0, Tenant(2), 7).is_err(),
            "one is still the first tenant's"
        );
        shares.from_server(A, 7);
        assert_eq!(shares.to_server(0.0, Tenant(2), 7), Ok(()));
    }
}
