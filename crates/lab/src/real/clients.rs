//! Clients on real sockets: each ask is sent when it was meant to be, whatever became of those before it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use balancer::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Duration, sleep, sleep_until, timeout_at};

use super::http::{Message, NoMessage, Start, Wire};
use super::proxies::Proxy;
use super::servers::body_for;
use super::stage::Stage;
use crate::chance::{Use, stream};
use crate::ledger::{Code, ProxyId, Try, TryId};
use crate::load::{self, TryEnd};
use crate::scenario::{Effect, FaultKind};

/// A slow reader waits so long before it reads.
const SLOW: Duration = Duration::from_millis(300);
/// Bytes of a request above which it is sent slowly.
const LARGE: usize = 64 << 10;

/// All clients, and the front that spreads them over the proxies.
pub struct Clients {
    stage: Rc<Stage>,
    proxies: Vec<Rc<Proxy>>,
    /// Idle connections by proxy, the one used last at the end.
    idle: RefCell<Vec<Vec<Wire>>>,
    chance: RefCell<ChaCha8Rng>,
    /// How late first tries were sent, in ms.
    pub late: RefCell<Vec<f64>>,
    open: Cell<usize>,
}

/// What came of an exchange.
enum Exchange {
    /// An answer, whole.
    Answer(Message),
    /// An answer that broke inside.
    Torn,
    /// The connection ended before the answer began.
    Ended,
    /// No connection came up.
    Unreachable,
}

impl Clients {
    /// Clients of these proxies.
    pub fn new(stage: Rc<Stage>, proxies: Vec<Rc<Proxy>>, seed: u64) -> Rc<Self> {
        let idle = proxies.iter().map(|_| Vec::new()).collect();
        Rc::new(Clients {
            stage,
            idle: RefCell::new(idle),
            proxies,
            chance: RefCell::new(stream(seed, Use::Clients)),
            late: RefCell::default(),
            open: Cell::new(0),
        })
    }

    /// Sends every ask at its time; ends when all have ended.
    pub async fn play(self: Rc<Self>) {
        for ask in 0..self.stage.asks.len() {
            sleep_until(self.stage.instant(self.stage.asks[ask].at)).await;
            self.open.set(self.open.get() + 1);
            let clients = self.clone();
            spawn_local(async move {
                clients.ask(ask).await;
                clients.open.set(clients.open.get() - 1);
            });
        }
        while self.open.get() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    }

    fn pick(&self, zone: usize) -> ProxyId {
        let (now, zones) = (self.stage.now(), self.stage.scenario.fleet.zones.len());
        let alive = |p: usize| {
            self.proxies[p]
                .known_gone
                .get()
                .is_none_or(|from| now < from)
        };
        load::pick_proxy(
            &mut *self.chance.borrow_mut(),
            self.proxies.len(),
            zones,
            zone,
            alive,
        )
    }

    async fn ask(&self, ask: usize) {
        let stage = &self.stage;
        let a = &stage.asks[ask];
        let mut intended = a.at;
        for number in 1.. {
            let now = stage.now();
            if number == 1 {
                self.late.borrow_mut().push(now - intended);
            }
            let end = self.try_once(ask, number, intended, now).await;
            let now = stage.now();
            {
                let served = &mut stage.served.borrow_mut()[ask];
                served.1 = number;
                if end == TryEnd::Served {
                    served.0 = Some(now);
                }
            }
            let Some(wait) = load::next_try(&stage.scenario, a, number, now, end) else {
                return;
            };
            intended = now + wait;
            sleep_until(stage.instant(intended)).await;
        }
    }

    async fn try_once(&self, ask: usize, number: u32, intended: Millis, now: Millis) -> TryEnd {
        let stage = &self.stage;
        let a = &stage.asks[ask];
        let proxy = self.pick(a.zone);
        let patience = load::patience(&stage.scenario, a, now);
        if patience < 1.0 {
            return TryEnd::GaveUp;
        }
        let class = &stage.scenario.classes[a.class];
        let (id, name) = {
            let mut ledger = stage.ledger.borrow_mut();
            let id = ledger.tries.len();
            ledger.tries.push(Try {
                ask,
                number,
                class: a.class,
                once: class.effect == Effect::Unsafe,
                proxy,
                intended,
                sent: now,
                due: now + patience,
                taken: None,
                answers: Vec::new(),
                left: None,
                attempts: Vec::new(),
            });
            (id, format!("r-{id:08x}"))
        };
        stage.ids.borrow_mut().insert(name.clone(), id);
        let method = if class.effect == Effect::Safe {
            "GET"
        } else {
            "POST"
        };
        let tenant = a.tenant.map_or(String::new(), |t| {
            format!("X-Tenant-Id: {}\r\n", stage.scenario.tenants[t].name)
        });
        let retried = if number > 1 { "X-Retried: 1\r\n" } else { "" };
        let size = self.large();
        let body = if method == "POST" && size.is_some() {
            body_for(&name, size)
        } else {
            Vec::new()
        };
        let length = if method == "POST" {
            format!("Content-Length: {}\r\n", body.len())
        } else {
            String::new()
        };
        let large = size.map_or(String::new(), |size| format!("&large={size}"));
        let request = format!(
            "{method} /{}?sid={:x}{large} HTTP/1.1\r\nHost: lab\r\nX-Request-ID: {name}\r\nX-Timeout: {:.3}\r\n{tenant}{retried}\
             {length}\r\n",
            class.name,
            a.key,
            patience / 1000.0
        );
        let due = stage.instant(now + patience);
        let mut whole = request.into_bytes();
        whole.extend_from_slice(&body);
        match timeout_at(due, self.exchange(id, proxy, &whole)).await {
            Err(_) => {
                stage.ledger.borrow_mut().tries[id].left = Some(stage.now()); // dropping it closed the connection
                TryEnd::GaveUp
            }
            Ok(Exchange::Unreachable) => TryEnd::Unreachable,
            Ok(Exchange::Ended) => TryEnd::Failed,
            Ok(Exchange::Torn) => {
                stage.ledger.borrow_mut().tries[id]
                    .answers
                    .push((stage.now(), Code::Broken));
                TryEnd::Failed
            }
            Ok(Exchange::Answer(message)) => {
                let wanted = body_for(&name, size.filter(|_| method == "GET"));
                self.answered(id, &wanted, &message)
            }
        }
    }

    fn answered(&self, id: TryId, wanted: &[u8], message: &Message) -> TryEnd {
        let now = self.stage.now();
        let (code, end) = match message.start {
            Start::Answer(200) => {
                let genuine = message.body == wanted;
                (Code::Served { genuine }, TryEnd::Served)
            }
            Start::Answer(429 | 503) => {
                let after = message
                    .header("retry-after")
                    .and_then(|v| v.parse::<f64>().ok())
                    .map(|s| s * 1000.0);
                (Code::Refused { retry_after: after }, TryEnd::Refused(after))
            }
            _ => (Code::Failed, TryEnd::Failed),
        };
        self.stage.ledger.borrow_mut().tries[id]
            .answers
            .push((now, code));
        end
    }

    /// One request on a connection that is kept or new. One that ends before it has been read is sent once more on a
    /// new connection: between requests a proxy may close.
    async fn exchange(&self, id: TryId, proxy: ProxyId, request: &[u8]) -> Exchange {
        let kept = self.idle.borrow_mut()[proxy].pop();
        if let Some(wire) = kept {
            match self.over(id, proxy, wire, request).await {
                Exchange::Ended => self.stage.ledger.borrow_mut().tries[id].taken = None,
                end => return end,
            }
        }
        let Ok(stream) = TcpStream::connect(self.proxies[proxy].address).await else {
            return Exchange::Unreachable;
        };
        self.over(id, proxy, Wire::new(stream), request).await
    }

    async fn over(&self, id: TryId, proxy: ProxyId, mut wire: Wire, request: &[u8]) -> Exchange {
        // A large body comes in two halves, and the second one late.
        let (first, late) = request.split_at(if request.len() > LARGE {
            request.len() / 2
        } else {
            request.len()
        });
        if wire.write(first).await.is_err() {
            return Exchange::Ended;
        }
        if !late.is_empty() {
            sleep(SLOW).await;
        }
        if wire.write(late).await.is_err() {
            return Exchange::Ended;
        }
        self.stage.ledger.borrow_mut().tries[id].taken = Some(self.stage.now());
        if self.reads_slowly() {
            sleep(SLOW).await;
        }
        match wire.read(false).await {
            Ok(message) => {
                if !message.closes() {
                    self.idle.borrow_mut()[proxy].push(wire);
                }
                Exchange::Answer(message)
            }
            Err(NoMessage::Ended) => Exchange::Ended,
            Err(NoMessage::Broken(_)) => Exchange::Torn,
        }
    }

    /// The size of a large request's body or answer, if this one is large.
    fn large(&self) -> Option<usize> {
        let now = self.stage.now();
        let holds = |f: &&crate::scenario::Fault| f.kind == FaultKind::LargeBodies && f.holds(now);
        let fault = self.stage.scenario.faults.iter().find(holds)?;
        let struck = self.chance.borrow_mut().random::<f64>() < fault.share.map_or(0.0, |s| s.0);
        fault.size.filter(|_| struck).map(|size| size.0 as usize)
    }

    fn reads_slowly(&self) -> bool {
        let now = self.stage.now();
        let holds = |f: &&crate::scenario::Fault| f.kind == FaultKind::SlowReaders && f.holds(now);
        let share: f64 = self
            .stage
            .scenario
            .faults
            .iter()
            .filter(holds)
            .filter_map(|f| f.share)
            .map(|s| s.0)
            .sum();
        share > 0.0 && self.chance.borrow_mut().random::<f64>() < share
    }

    /// Peers that send garbage, for as long as the faults say.
    pub async fn garbage(self: Rc<Self>) {
        const SORTS: [&[u8]; 4] = [
            b"\x16\x03\x01\x02\x00\x01",
            b"GET",
            b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
            b"",
        ];
        let faults = self.stage.scenario.faults.clone();
        for fault in faults.iter().filter(|f| f.kind == FaultKind::Garbage) {
            let gap = 1000.0 / fault.rate.map_or(1.0, |r| r.0);
            let many = (fault.span.0 / gap) as usize;
            for n in 0..many {
                sleep_until(self.stage.instant(fault.at.0 + n as f64 * gap)).await;
                let address = self.proxies[n % self.proxies.len()].address;
                spawn_local(async move {
                    if let Ok(stream) = TcpStream::connect(address).await {
                        let mut wire = Wire::new(stream);
                        let _ = wire.write(SORTS[n % SORTS.len()]).await; // what becomes of it is the proxy's affair
                        wire.ended().await;
                    }
                });
            }
        }
    }
}
