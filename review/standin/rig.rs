//! Stand-ins of the platform: discovery, loan servers, clients, and the start of the proxy by the deploy file's `run`.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}
/// Asks the system for a signal when the parent ends (`prctl`).
const PR_SET_PDEATHSIG: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// A case runs for 120 s at most.
const MAX_RUN: Duration = Duration::from_secs(110);

pub fn signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

/// The record of what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {}", text.as_ref());
    }
}

/// One run of a case.
pub struct Rig {
    pub record: Arc<Record>,
    pub trouble: bool,
    pub root: PathBuf,
    pub tmp: PathBuf,
    pub listen: SocketAddr,
    ids: AtomicU64,
    /// The proxy that has been started, until it has ended; 0 if there is none.
    proxy: Arc<AtomicU32>,
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

impl Rig {
    pub fn new(folder: &str) -> Arc<Self> {
        let folder = PathBuf::from(folder);
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        let unique = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_nanos();
        let tmp = std::env::temp_dir().join(format!("review-{}-{unique}", std::process::id()));
        fs::create_dir_all(&tmp).expect("a temporary folder can be made");
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        let rig = Rig {
            record: Arc::new(Record {
                file: Mutex::new(file),
                start: Instant::now(),
            }),
            trouble,
            root: std::env::current_dir().unwrap(),
            tmp,
            listen: free_address(),
            ids: AtomicU64::new(1),
            proxy: Arc::default(),
        };
        rig.record.line(format!(
            "disruption: {}",
            if trouble { "on" } else { "off" }
        ));
        let rig = Arc::new(rig);
        // A run that does not end by itself could not run.
        let watched = rig.clone();
        thread::spawn(move || {
            thread::sleep(MAX_RUN);
            watched.finish(2, "the run took too long");
        });
        rig
    }

    /// A new request ID.
    pub fn id(&self) -> String {
        format!(
            "{:016x}",
            0x9b1f_0000_0000_0000_u64 + self.ids.fetch_add(1, Ordering::Relaxed)
        )
    }

    pub fn config_path(&self) -> PathBuf {
        self.tmp.join("config.json")
    }

    /// Writes the proxy's configuration in one step.
    pub fn write_config(&self, config: &str) {
        let draft = self.tmp.join("config.json.new");
        fs::write(&draft, config).unwrap();
        fs::rename(draft, self.config_path()).unwrap();
    }

    /// Starts the proxy by the line `run` of the deploy file.
    pub fn start_proxy(&self, discovery: SocketAddr) -> Proxy {
        let deploy =
            fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'))
            .expect("the deploy file has a line `run`")
            .to_owned();
        self.record
            .line(format!("proxy: started by `{run}` on {}", self.listen));
        let private = self.tmp.join("private");
        fs::create_dir_all(&private).unwrap();
        let log = File::create(self.tmp.join("proxy.log")).unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run])
            .current_dir(&self.root)
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", self.listen.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", self.config_path())
            .env("TMPDIR", private)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        // The proxy ends with this process, also where this process is interrupted.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().expect("the proxy can be started");
        self.proxy.store(child.id(), Ordering::Relaxed);
        Proxy {
            child,
            record: self.record.clone(),
            running: self.proxy.clone(),
            ended: None,
        }
    }

    /// Waits until `/up` has said yes.
    pub fn wait_until_up(&self) -> bool {
        for _ in 0..300 {
            if let Ok(mut c) = Client::connect(self.listen) {
                let head = format!(
                    "GET /up HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
                    self.listen
                );
                if c.send(head.as_bytes()).is_ok()
                    && c.read_answer(Instant::now() + Duration::from_secs(1))
                        .status
                        == 200
                {
                    self.record.line("proxy: /up answers 200");
                    return true;
                }
            }
            sleep_ms(100);
        }
        false
    }

    /// Ends the run: removes the temporary folder, and keeps what the proxy logged apart from captures and figures.
    pub fn finish(&self, verdict: i32, text: &str) -> ! {
        match self.proxy.swap(0, Ordering::Relaxed) {
            0 => {}
            pid => signal(pid, SIGKILL),
        }
        if let Ok(log) = fs::read(self.tmp.join("proxy.log")) {
            let log = String::from_utf8_lossy(&log).into_owned();
            for line in log
                .lines()
                .filter(|l| l.starts_with("canvascart-proxy"))
                .take(40)
            {
                self.record.line(format!("proxy's log: {line}"));
            }
        }
        let _ = fs::remove_dir_all(&self.tmp);
        self.record.line(format!("verdict: {verdict}: {text}"));
        println!("{text}");
        std::process::exit(verdict)
    }
}

pub struct Proxy {
    child: Child,
    record: Arc<Record>,
    running: Arc<AtomicU32>,
    pub ended: Option<String>,
}

impl Proxy {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        if self.ended.is_none() {
            self.record
                .line(format!("platform: signal {signal} to the proxy"));
            self::signal(self.child.id(), signal);
        }
    }

    /// Returns whether the proxy runs; notes its end.
    pub fn runs(&mut self) -> bool {
        if self.ended.is_some() {
            return false;
        }
        match self.child.try_wait() {
            Ok(Some(status)) => {
                let text = format!("code {:?}, signal {:?}", status.code(), status.signal());
                self.record.line(format!("proxy: ended, {text}"));
                self.running.store(0, Ordering::Relaxed);
                self.ended = Some(text);
                false
            }
            _ => true,
        }
    }

    /// Waits for the end until `deadline`.
    pub fn wait(&mut self, deadline: Instant) -> bool {
        while self.runs() {
            if Instant::now() >= deadline {
                return false;
            }
            sleep_ms(5);
        }
        true
    }

    pub fn end(&mut self) {
        if self.runs() {
            self.signal(SIGKILL);
            self.wait(Instant::now() + Duration::from_secs(5));
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.end();
    }
}

/// Limits of a proxy; all other settings are those of the pages' example, for one proxy.
pub struct Settings {
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            memory_mb: 128,
            sockets: 1024,
        }
    }
}

pub fn config(rig: &Rig, discovery: SocketAddr, known: &str, s: &Settings) -> String {
    let (listen, memory, sockets) = (rig.listen, s.memory_mb, s.sockets);
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
"known":{known},
"settings":{{"accounts":[{{"allowancePerS":311.0,"name":"reseau-rive-nord","share":0.8}},{{"allowancePerS":78.0,"name":"biblio-estrie","share":0.2}}],
"callers":{{"marksRetry":true}},
"ceilings":{{"cancel":true,"cpuUsPerRequest":0.0,"cpuUsPerS":8000,"dialTimeout":250.0,"idleClose":10000.0,"maxAttempts":5,"maxOpen":20000,"maxRetryAfter":1200.0,"mayTell":false,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":1}},
"classes":[{{"deadline":2500.0,"dedupScope":"all","effect":"idempotent","lateShare":0.5,"name":"lookup","promise":500.0,"streaming":false,"window":5000.0,"worth":2.0}},{{"deadline":2000.0,"dedupScope":"all","effect":"at_most_once","lateShare":0.5,"name":"checkout","promise":600.0,"streaming":false,"window":5000.0,"worth":10.0}}],
"discovery":"pushed","domainType":"proxy","extra":{{"warmKeys":true}},"flavors":["standard","older"],
"goal":{{"whole":0.4,"worstClass":0.2,"worstTenant":0.25,"worstWindow":0.15}},
"myNumber":0,"nInstances":1,"overShareWorth":0.2,
"prices":{{"connection":0.0,"crossZone":0.02,"discovery":0.0,"handshake":0.08,"lateFail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.04}},
"rules":{{"answerSlack":8.0,"askWithin":10000.0,"cold":23000.0,"drainGrace":1000.0,"fall":1000.0,"fallMultiple":3.0,"startCapacity":0.12}},
"step":2.0,"telemetry":{{"fields":["failed_ps","pending"],"via":"piggyback"}},"tier":0,"tiers":["loan-servers"],
"weightSource":"rough","worthBy":"request","zone":"laval","zones":["montreal-est","laval","quebec-ville"]}}}}"#
    )
}

/// An entry of the list.
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
}

impl Host {
    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"laval","class":"standard","block":0,"health":"up","share":1.0,"born_ms":0}}"#,
            self.name, self.dial
        )
    }
}

/// Discovery's agent: answers at once. Its list does not change in these cases.
pub struct Discovery {
    pub address: SocketAddr,
    hosts: Vec<Host>,
}

const SEQ: u64 = 41;

impl Discovery {
    pub fn start(record: Arc<Record>, hosts: Vec<Host>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let discovery = Arc::new(Discovery { address, hosts });
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, record) = (shared.clone(), record.clone());
                thread::spawn(move || {
                    let _ = shared.serve(stream, &record);
                });
            }
        });
        discovery
    }

    pub fn list(&self) -> String {
        let entries: Vec<String> = self.hosts.iter().map(Host::json).collect();
        format!(
            r#"{{"seq":{SEQ},"whole":true,"hosts":[{}]}}"#,
            entries.join(",")
        )
    }

    fn serve(&self, mut stream: TcpStream, record: &Record) -> io::Result<()> {
        let Some(request) = read_head(&mut stream, &mut Vec::new())? else {
            return Ok(());
        };
        let query = request.target.split_once('?').map_or("", |p| p.1);
        record.line(format!("discovery: {}", request.target));
        if !query.contains("watch=1") {
            let body = self.list();
            return write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
        }
        stream.set_nodelay(true)?;
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        let after = query.split('&').find_map(|p| p.strip_prefix("after="));
        let mut line = if after == Some(SEQ.to_string().as_str()) {
            String::new()
        } else {
            self.list()
        };
        // As long as nothing changes, an empty line comes every 2 s.
        loop {
            write!(stream, "{:x}\r\n{line}\n\r\n", line.len() + 1)?;
            line.clear();
            sleep_ms(2000);
        }
    }
}

pub struct Head {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
}

impl Head {
    pub fn id(&self) -> &str {
        self.headers.get("x-request-id").map_or("", |v| v)
    }

    pub fn length(&self) -> usize {
        self.headers
            .get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }

    pub fn chunked(&self) -> bool {
        self.headers.contains_key("transfer-encoding")
    }
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let mut parts = first.splitn(3, ' ');
    let (method, target) = (
        parts.next().unwrap_or_default().to_owned(),
        parts.next().unwrap_or_default().to_owned(),
    );
    let headers = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.trim().to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    Head {
        method,
        target,
        headers,
    }
}

/// Reads a head; what follows it stays in `rest`.
pub fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Head>> {
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = parse_head(&String::from_utf8_lossy(&rest[..end]));
            rest.drain(..end + 4);
            return Ok(Some(head));
        }
        let n = stream.read(&mut buffer)?;
        if n == 0 {
            return Ok(None);
        }
        rest.extend_from_slice(&buffer[..n]);
    }
}

/// A request at a loan server, read whole.
pub struct Request {
    pub head: Head,
}

/// What a loan server does with a request; returns whether it keeps the connection.
pub type Handler = dyn Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

pub struct LoanServer {
    pub name: String,
    pub address: SocketAddr,
}

impl LoanServer {
    pub fn start(rig: &Rig, name: &str, handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (record, server) = (rig.record.clone(), name.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handler, record, server) = (handler.clone(), record.clone(), server.clone());
                thread::spawn(move || {
                    let _ = serve_connection(stream, &*handler, &record, &server);
                });
            }
        });
        LoanServer {
            name: name.into(),
            address,
        }
    }

    pub fn host(&self) -> Host {
        Host {
            name: self.name.clone(),
            dial: self.address,
        }
    }
}

fn serve_connection(
    mut stream: TcpStream,
    handler: &Handler,
    record: &Record,
    server: &str,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut rest = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut rest)? {
        let mut body_bytes = 0;
        if head.chunked() {
            body_bytes = read_chunks(&mut stream, &mut rest)?;
        } else {
            let mut left = head.length();
            let mut buffer = [0; 64 << 10];
            while left > 0 {
                if rest.is_empty() {
                    let n = stream.read(&mut buffer)?;
                    if n == 0 {
                        return Ok(());
                    }
                    rest.extend_from_slice(&buffer[..n]);
                }
                let now = left.min(rest.len());
                rest.drain(..now);
                (left, body_bytes) = (left - now, body_bytes + now);
            }
        }
        if head.target.starts_with("/alive") || head.target.starts_with("/metrics/load") {
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        record.line(format!(
            "{server}: gets {} {} id {} body {body_bytes}",
            head.method,
            head.target,
            head.id()
        ));
        if !handler(&Request { head }, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

fn read_chunks(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<usize> {
    let mut total = 0;
    let mut buffer = [0; 64 << 10];
    let mut more = |rest: &mut Vec<u8>| -> io::Result<()> {
        let n = stream.read(&mut buffer)?;
        if n == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        rest.extend_from_slice(&buffer[..n]);
        Ok(())
    };
    loop {
        let end = loop {
            match rest.windows(2).position(|w| w == b"\r\n") {
                Some(end) => break end,
                None => more(rest)?,
            }
        };
        let size = usize::from_str_radix(String::from_utf8_lossy(&rest[..end]).trim(), 16)
            .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
        rest.drain(..end + 2);
        while rest.len() < size + 2 {
            more(rest)?;
        }
        rest.drain(..size + 2);
        total += size;
        if size == 0 {
            return Ok(total);
        }
    }
}

/// Answers 200 with a body that names the request.
pub fn served(id: &str, server: &str) -> Vec<u8> {
    let body = format!("loan status for request {id} by {server}");
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// An answer as the client got it.
#[derive(Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub body: Vec<u8>,
    pub body_bytes: usize,
    /// The whole answer has come.
    pub whole: bool,
    /// How the connection ended, if it did.
    pub end: String,
    pub closes: bool,
}

pub struct Client {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

/// So many bytes of an answer's body are kept for the check.
const KEEP: usize = 4096;

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Client {
            stream,
            rest: Vec::new(),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads one answer, until `deadline` at most.
    pub fn read_answer(&mut self, deadline: Instant) -> Answer {
        let mut answer = Answer::default();
        let end = self.read_into(&mut answer, deadline);
        answer.end = match end {
            Ok(()) => String::new(),
            Err(e) => e.to_string(),
        };
        answer
    }

    fn more(&mut self, deadline: Instant) -> io::Result<bool> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(ErrorKind::TimedOut, "no more came in time"));
        }
        self.stream
            .set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut buffer = [0; 64 << 10];
        match self.stream.read(&mut buffer) {
            Ok(0) => Ok(false),
            Ok(n) => {
                self.rest.extend_from_slice(&buffer[..n]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                Err(io::Error::new(ErrorKind::TimedOut, "no more came in time"))
            }
            Err(e) => Err(e),
        }
    }

    fn read_into(&mut self, answer: &mut Answer, deadline: Instant) -> io::Result<()> {
        let closed = || io::Error::new(ErrorKind::UnexpectedEof, "the proxy closed the connection");
        let end = loop {
            if let Some(end) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                break end;
            }
            if !self.more(deadline)? {
                return Err(closed());
            }
        };
        let head = parse_head(&String::from_utf8_lossy(&self.rest[..end]));
        self.rest.drain(..end + 4);
        answer.status = head.target.parse().unwrap_or(0);
        answer.closes = head
            .headers
            .get("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let chunked = head.chunked();
        let length = head
            .headers
            .get("content-length")
            .and_then(|v| v.parse::<usize>().ok());
        let take = |answer: &mut Answer, bytes: &[u8]| {
            let room = KEEP.saturating_sub(answer.body.len()).min(bytes.len());
            answer.body.extend_from_slice(&bytes[..room]);
            answer.body_bytes += bytes.len();
        };
        if chunked {
            loop {
                let end = loop {
                    match self.rest.windows(2).position(|w| w == b"\r\n") {
                        Some(end) => break end,
                        None if self.more(deadline)? => {}
                        None => return Err(closed()),
                    }
                };
                let size =
                    usize::from_str_radix(String::from_utf8_lossy(&self.rest[..end]).trim(), 16)
                        .map_err(|_| io::Error::from(ErrorKind::InvalidData))?;
                self.rest.drain(..end + 2);
                while self.rest.len() < size + 2 {
                    if !self.more(deadline)? {
                        return Err(closed());
                    }
                }
                take(answer, &self.rest[..size]);
                self.rest.drain(..size + 2);
                if size == 0 {
                    answer.whole = true;
                    return Ok(());
                }
            }
        }
        loop {
            let left = length.map_or(usize::MAX, |l| l - answer.body_bytes);
            let now = left.min(self.rest.len());
            if now > 0 {
                let bytes: Vec<u8> = self.rest.drain(..now).collect();
                take(answer, &bytes);
            }
            if length == Some(answer.body_bytes) {
                answer.whole = true;
                return Ok(());
            }
            match self.more(deadline) {
                Ok(true) => {}
                Ok(false) if length.is_none() => {
                    answer.whole = true;
                    return Ok(());
                }
                Ok(false) => return Err(closed()),
                Err(e) => return Err(e),
            }
        }
    }
}

/// The head of a client's request.
pub fn request_head(
    method: &str,
    class: &str,
    id: &str,
    sid: &str,
    timeout: f64,
    length: Option<usize>,
) -> String {
    let length = length.map_or(String::new(), |n| format!("Content-Length: {n}\r\n"));
    format!(
        "{method} /{class}?sid={sid} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: {id}\r\nX-Tenant-Id: reseau-rive-nord\r\nX-Timeout: {timeout:.3}\r\n{length}\r\n"
    )
}
