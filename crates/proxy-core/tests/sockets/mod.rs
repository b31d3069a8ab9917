//! Fixtures for a proxy process on loopback with a fake discovery service and fake endpoints. The system chooses all
//! ports, and each wait ends on a condition or after a generous limit.
#![allow(dead_code)] // each test file uses a part of this module
use std::io::{BufRead, BufReader, ErrorKind, Lines, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The limit of all waits, long enough for a loaded machine.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Waits until a condition holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// An HTTP message as read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; returns `None` if the connection ends before it is complete.
pub fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            break;
        } else {
            let (name, value) = line.split_once(':')?;
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let length = message
        .header("content-length")
        .map_or(0, |v| v.parse().expect("numeric Content-Length"));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// The reaction of a fake endpoint to a request.
#[derive(Clone)]
pub enum BackendAction {
    /// Writes this text and keeps the connection open.
    Write(String),
    /// Writes this text and closes the connection.
    WriteAndClose(String),
    /// Waits until the latch opens, then writes this text.
    Hold(Latch, String),
}

/// A latch that opens once.
#[derive(Clone, Default)]
pub struct Latch(Arc<AtomicUsize>);

impl Latch {
    pub fn open(&self) {
        self.0.store(1, Ordering::SeqCst);
    }

    pub fn wait_until_open(&self) {
        self.wait();
    }

    fn wait(&self) {
        wait_for("a latch", || self.0.load(Ordering::SeqCst) == 1);
    }
}

pub fn ok(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Own: kept\r\n\r\n{body}",
        body.len()
    )
}

pub fn empty(status: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
}

type Seen = Arc<Mutex<Vec<Message>>>;

/// A fake endpoint that records its requests.
pub struct Backend {
    pub address: SocketAddr,
    seen: Seen,
    /// The numbers of connections opened, and of those closed again.
    pub opened: Arc<AtomicUsize>,
    pub closed: Arc<AtomicUsize>,
}

impl Backend {
    pub fn new(action: BackendAction) -> Self {
        Backend::with(move |_| action.clone())
    }

    pub fn with(action: impl Fn(&Message) -> BackendAction + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let address = listener.local_addr().expect("local address");
        let (seen, opened, closed) = (Seen::default(), Arc::default(), Arc::default());
        let backend = Backend {
            address,
            seen,
            opened,
            closed,
        };
        let (seen, opened, closed) = (
            backend.seen.clone(),
            backend.opened.clone(),
            backend.closed.clone(),
        );
        let action = Arc::new(action);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (seen, closed, action) = (seen.clone(), closed.clone(), action.clone());
                opened.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    backend_connection(stream.expect("accept a connection"), &seen, &*action);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    pub fn seen(&self) -> Vec<Message> {
        self.seen.lock().expect("lock is not poisoned").clone()
    }

    pub fn closed_count(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}

fn backend_connection(stream: TcpStream, seen: &Seen, action: &dyn Fn(&Message) -> BackendAction) {
    let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
    let mut stream = stream;
    while let Some(request) = read_message(&mut reader) {
        let action = action(&request);
        seen.lock().expect("lock is not poisoned").push(request);
        // The proxy may have closed the connection, which is not an error.
        let wrote = match action {
            BackendAction::Write(text) => stream.write_all(text.as_bytes()),
            BackendAction::WriteAndClose(text) => {
                let _ = stream.write_all(text.as_bytes());
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            BackendAction::Hold(latch, text) => {
                latch.wait();
                stream.write_all(text.as_bytes())
            }
        };
        if wrote.is_err() {
            return;
        }
    }
}

/// A fake discovery service for one proxy: each watch gets the lines published so far and those that follow.
pub struct Discovery {
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    pub requests: Seen,
    /// The delay in ms between a request and the head of its response.
    pub response_delay_ms: Arc<AtomicUsize>,
    _stop: Sender<()>,
}

impl Discovery {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let address = listener.local_addr().expect("local address");
        let (lines, requests) = (Arc::new(Mutex::new(Vec::new())), Seen::default());
        let (stop, stopped) = channel();
        let stopped = Arc::new(Mutex::new(stopped));
        let response_delay_ms = Arc::new(AtomicUsize::new(0));
        let (published, received_requests, wait) =
            (lines.clone(), requests.clone(), response_delay_ms.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (published, received_requests, stopped) = (
                    published.clone(),
                    received_requests.clone(),
                    stopped.clone(),
                );
                let wait = Duration::from_millis(wait.load(Ordering::SeqCst) as u64);
                thread::spawn(move || {
                    serve_watch(
                        stream.expect("accept a connection"),
                        wait,
                        &published,
                        &received_requests,
                        &stopped,
                    )
                });
            }
        });
        Discovery {
            address,
            lines,
            requests,
            response_delay_ms,
            _stop: stop,
        }
    }

    pub fn publish(&self, line: &str) {
        self.lines
            .lock()
            .expect("lock is not poisoned")
            .push(line.to_owned());
    }
}

fn serve_watch(
    mut stream: TcpStream,
    response_delay: Duration,
    lines: &Mutex<Vec<String>>,
    requests: &Seen,
    stop: &Mutex<Receiver<()>>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("clone the stream"));
    let Some(request) = read_message(&mut reader) else {
        return;
    };
    // A resumed watch gets only lines published from now on.
    let is_resumed = request.first.contains("after=");
    requests.lock().expect("lock is not poisoned").push(request);
    let mut sent = if is_resumed {
        lines.lock().expect("lock is not poisoned").len()
    } else {
        0
    };
    thread::sleep(response_delay);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut idle_rounds = 0;
    loop {
        let new_lines: Vec<String> = lines.lock().expect("lock is not poisoned")[sent..].to_vec();
        sent += new_lines.len();
        idle_rounds = if new_lines.is_empty() {
            idle_rounds + 1
        } else {
            0
        };
        let heartbeat = if idle_rounds % 100 == 99 { "\n" } else { "" };
        let text = new_lines
            .iter()
            .map(|l| format!("{l}\n"))
            .collect::<String>()
            + heartbeat;
        if !text.is_empty() && write!(stream, "{:x}\r\n{text}\r\n", text.len()).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
        if matches!(
            stop.lock().expect("lock is not poisoned").try_recv(),
            Err(std::sync::mpsc::TryRecvError::Disconnected)
        ) {
            return;
        }
    }
}

/// Returns an entry of the endpoint list.
pub fn host(name: &str, dial: SocketAddr, health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"k","block":1,"health":"{health}","share":4.0,"born_ms":{born_ms}}}"#
    )
}

pub fn list(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        hosts.join(",")
    )
}

/// Creates a listening socket that child processes inherit, as the platform does.
pub fn inheritable_listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
    socket2::SockRef::from(&listener)
        .set_cloexec(false)
        .expect("clear close-on-exec");
    listener
}

/// Creates a listener whose accept queue is full, so that connections to it are not established until `accept` makes
/// room.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("create a socket");
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("valid address");
    socket.bind(&any_port.into()).expect("bind a port");
    socket.listen(0).expect("listen");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("local address");
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        queued.push(stream);
        assert!(queued.len() < 100, "the queue never fills");
    }
    (listener, queued)
}

/// Returns the first version of the list, with all endpoints up.
pub fn all_up(backends: &[&Backend]) -> String {
    let line = |(i, b): (usize, &&Backend)| host(&format!("s-{i}"), b.address, "up", 0);
    list(
        1,
        true,
        &backends.iter().enumerate().map(line).collect::<Vec<_>>(),
    )
}

/// Settings that a test may change.
pub struct Setup {
    pub cached_list: String,
    pub sockets: usize,
    pub idle_timeout: u32,
    pub connect_timeout: u32,
    /// The deadline of all classes in ms; the latency objective is four fifths of it.
    pub deadline: u32,
    pub peer_addresses: Option<(SocketAddr, SocketAddr)>,
    /// The number of proxies that share the endpoints without exchanging messages.
    pub proxy_count: u32,
    /// The limit on open descriptors of the process.
    pub max_descriptors: Option<u32>,
    /// The text of the properties file; `None` starts the proxy without the option.
    pub properties: Option<String>,
    /// True if standard error is left unread once the proxy listens.
    pub leave_stderr_unread: bool,
    /// True if the proxy has to request the list.
    pub fetch_list: bool,
    /// True if the operations listener is enabled.
    pub operations_enabled: bool,
    pub memory_mb: u32,
    /// The client listener, if the proxy inherits it from the test.
    pub inherited_socket: Option<i32>,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            cached_list: "null".into(),
            sockets: 256,
            idle_timeout: 30_000,
            connect_timeout: 400,
            deadline: 5000,
            peer_addresses: None,
            proxy_count: 1,
            max_descriptors: None,
            properties: None,
            leave_stderr_unread: false,
            fetch_list: false,
            operations_enabled: false,
            memory_mb: 192,
            inherited_socket: None,
        }
    }
}

pub fn config(discovery: SocketAddr, setup: &Setup) -> String {
    let has_peers = setup.peer_addresses.is_some();
    let (deadline, objective) = (setup.deadline, setup.deadline / 5 * 4);
    let peers = setup.peer_addresses.map_or(String::new(), |(own, peer)| {
        format!(r#""peer_listen":"{own}","peers":["{own}","{peer}"],"peers_all":"{peer}","#)
    });
    let operations = if setup.operations_enabled {
        r#""ops":"127.0.0.1:0","#
    } else {
        ""
    };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0",{operations}"discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{peers}"known":{},
        "settings":{{"zone":"a","zones":["a"],"flavors":["k"],"nInstances":{},"myNumber":0,"discovery":"{}",
        "weightSource":"nominal","accounts":[{{"name":"acme","allowancePerS":1000}}],
        "classes":[{{"name":"page","effect":"idempotent","promise":{objective},"deadline":{deadline},"worth":1}},
        {{"name":"submit","effect":"at_most_once","promise":{objective},"deadline":{deadline},"worth":1}},
        {{"name":"booking","effect":"deduplicated","dedupScope":"cell","window":2500,"promise":{objective},"deadline":{deadline},"worth":1}}],
        "ceilings":{{"maxAttempts":6,"dialTimeout":{},"idleClose":{},"mayTell":{has_peers}}},
        "rules":{{"startCapacity":0.3,"cold":8700,"fall":1500,"fallMultiple":2.5,"drainGrace":500}}}}}}"#,
        setup.memory_mb,
        setup.sockets,
        setup.cached_list,
        if has_peers { 2 } else { setup.proxy_count },
        if setup.fetch_list {
            "on_request"
        } else {
            "pushed"
        },
        setup.connect_timeout,
        setup.idle_timeout,
    )
}

/// Starts a proxy in front of endpoints at these addresses, all up.
pub fn start_proxy_for(endpoints: &[SocketAddr], setup: &Setup) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    let lines: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(i, s)| host(&format!("s-{i}"), *s, "up", 0))
        .collect();
    discovery.publish(&list(1, true, &lines));
    let proxy = Proxy::up(&discovery, setup);
    (discovery, proxy)
}

/// A running proxy process.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    /// The address of the operations listener, if it is enabled.
    pub operations_address: Option<SocketAddr>,
    pub log: Arc<Mutex<String>>,
    file: std::path::PathBuf,
    properties: Option<std::path::PathBuf>,
    /// Standard error, if it is left unread.
    pub unread_stderr: Option<Lines<BufReader<ChildStderr>>>,
}

static FILE_COUNTER: AtomicUsize = AtomicUsize::new(0);

/// Writes a configuration file.
pub fn config_file(text: &str) -> std::path::PathBuf {
    let number = FILE_COUNTER.fetch_add(1, Ordering::SeqCst);
    let file = std::env::temp_dir().join(format!(
        "canvascart-proxy-{}-{number}.json",
        std::process::id()
    ));
    std::fs::write(&file, text).expect("write the file");
    file
}

impl Proxy {
    pub fn start(discovery: &Discovery, setup: &Setup) -> Self {
        Proxy::run(&config(discovery.address, setup), setup)
    }

    /// Starts a proxy with this configuration.
    pub fn with(text: &str) -> Self {
        Proxy::run(text, &Setup::default())
    }

    fn run(text: &str, setup: &Setup) -> Self {
        let file = config_file(text);
        let properties = setup.properties.as_deref().map(config_file);
        // The program of the package under test that runs a proxy.
        let (program, subcommand) = match (
            option_env!("CARGO_BIN_EXE_canvascart-proxy"),
            option_env!("CARGO_BIN_EXE_canvascart"),
        ) {
            (Some(program), _) => (program, None),
            (None, Some(program)) => (program, Some("proxy")),
            (None, None) => panic!("the package under test has no program that runs a proxy"),
        };
        let mut command = match setup.max_descriptors {
            Some(limit) => {
                let mut shell = Command::new("sh");
                shell.args([
                    "-c",
                    &format!("ulimit -n {limit}; exec \"$0\" \"$@\""),
                    program,
                ]);
                shell
            }
            None => Command::new(program),
        };
        command.args(subcommand);
        if let Some(descriptor) = setup.inherited_socket {
            command.env("NODE_SOCKET_FD", descriptor.to_string());
        }
        if let Some(file) = &properties {
            command.arg("--properties").arg(file);
        }
        let mut child = command
            .env("NODE_CONFIG", &file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the proxy starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let log = Arc::new(Mutex::new(String::new()));
        let mut operations_address = None;
        let address = lines.by_ref().map_while(Result::ok).find_map(|line| {
            if let Some((_, address)) = line.split_once("operators' door on ") {
                operations_address = address.parse().ok();
            }
            line.split_once("listens on ")
                .map(|(_, address)| address.parse().expect("valid address"))
        });
        let mut unread_stderr = Some(lines);
        if let Some(lines) = unread_stderr.take_if(|_| !setup.leave_stderr_unread) {
            let captured_log = log.clone();
            thread::spawn(move || {
                for line in lines.map_while(Result::ok) {
                    eprintln!("{line}");
                    captured_log
                        .lock()
                        .expect("lock is not poisoned")
                        .push_str(&(line + "\n"));
                }
            });
        }
        Proxy {
            child,
            address: address.expect("the proxy listens"),
            operations_address,
            log,
            file,
            properties,
            unread_stderr,
        }
    }

    /// Starts a proxy and waits until it is up.
    pub fn up(discovery: &Discovery, setup: &Setup) -> Self {
        let proxy = Proxy::start(discovery, setup);
        wait_for("/up", || proxy.is_up());
        proxy
    }

    pub fn is_up(&self) -> bool {
        Client::new(self)
            .ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            .is_some_and(|m| m.status() == 200)
    }

    /// Reads the unread rest of standard error.
    pub fn read_remaining_stderr(&mut self) -> String {
        let lines = self
            .unread_stderr
            .take()
            .expect("standard error is read once");
        lines
            .map_while(Result::ok)
            .map(|line| line + "\n")
            .collect()
    }

    /// Sends a request to the operations listener.
    pub fn call_operations(&self, call: &str) -> Option<Message> {
        self.send_to_operations(&format!("{call} HTTP/1.1\r\nHost: x\r\n\r\n"))
    }

    /// Sends any text to the operations listener and reads the response.
    pub fn send_to_operations(&self, text: &str) -> Option<Message> {
        Client::to(
            self.operations_address
                .expect("the operations listener is enabled"),
        )
        .ask(text)
    }

    /// Returns a metric by its name with labels.
    pub fn metric(&self, name: &str) -> f64 {
        let text = self
            .call_operations("GET /_vars")
            .expect("the metrics page")
            .text();
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(' ').map(str::to_owned));
        line.unwrap_or_else(|| panic!("{name} in {text}"))
            .parse()
            .expect("a number")
    }

    /// Returns the processor time used so far in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))
            .expect("read /proc of the process");
        let fields = stat
            .rsplit_once(") ")
            .expect("process name in stat")
            .1
            .split(' ')
            .skip(11)
            .take(2);
        fields
            .map(|f| f.parse::<f64>().expect("a number"))
            .sum::<f64>()
            / 100.0
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("read /proc of the process")
            .count()
    }

    /// Returns the peak memory in MB.
    pub fn memory_peak_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("read /proc of the process");
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .expect("VmHWM line");
        line.trim()
            .trim_end_matches(" kB")
            .trim()
            .parse::<f64>()
            .expect("a number")
            / 1000.0
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration and signals the process, as the platform does.
    pub fn reconfigure(&self, text: &str) {
        std::fs::write(&self.file, text).expect("write the file");
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &pid])
                .status()
                .expect("kill runs")
                .success()
        );
    }

    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the proxy to exit", || {
            status = self.child.try_wait().expect("query the child");
            status.is_some()
        });
        status.expect("the process has exited")
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("query the child").is_none()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in self.properties.iter().chain([&self.file]) {
            let _ = std::fs::remove_file(file);
        }
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn new(proxy: &Proxy) -> Self {
        Client::to(proxy.address)
    }

    pub fn to(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the proxy accepts");
        stream
            .set_read_timeout(Some(LIMIT))
            .expect("set the read timeout");
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes()); // a closed connection is noticed when the response is read
    }

    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    pub fn ask(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.answer()
    }

    /// Returns whether there is unread input.
    pub fn has_answer(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("set non-blocking mode");
        let has_input = stream.peek(&mut [0; 1]).is_ok();
        stream.set_nonblocking(false).expect("set blocking mode");
        has_input || !self.0.buffer().is_empty()
    }

    /// Shuts down the sending side, as a client that disconnects does.
    pub fn shutdown_write(&self) {
        self.0
            .get_ref()
            .shutdown(Shutdown::Write)
            .expect("shut down the sending side");
    }

    /// Returns whether the proxy closes the connection without sending anything more.
    pub fn is_closed(&mut self) -> bool {
        loop {
            match self.0.read(&mut [0; 1]) {
                // A read with a timeout is not restarted after a signal such as the exit of a child.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::ConnectionReset,
                Ok(n) => return n == 0,
            }
        }
    }
}

/// Returns a request that may be repeated.
pub fn page(id: &str) -> String {
    format!(
        "GET /page?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: 5\r\n\r\n"
    )
}

/// Returns a request that must not be executed twice.
pub fn submit(id: &str, timeout: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /submit?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {timeout}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
