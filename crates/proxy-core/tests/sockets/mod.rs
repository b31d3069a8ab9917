//! A proxy process on loopback, with a small discovery and small backends for it. All ports are the system's
//! choice, and all waits end on a condition or after a generous limit.
#![allow(dead_code)] // each test file uses its own part
use std::io::{BufRead, BufReader, ErrorKind, Lines, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// No wait takes longer, however loaded the machine.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Waits until something holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < end, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A message as read off a connection.
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

/// Reads a message; `None` where the connection ends before one is whole.
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
        .map_or(0, |v| v.parse().expect("a length"));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// What a backend does with a request.
#[derive(Clone)]
pub enum BackendAction {
    /// Writes these bytes and keeps the connection.
    Write(String),
    /// Writes these bytes and closes.
    WriteAndClose(String),
    /// Says nothing until the gate opens, then writes these bytes.
    Hold(Latch, String),
}

/// Something that opens once.
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
        wait_for("a gate", || self.0.load(Ordering::SeqCst) == 1);
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

/// A backend that does the same to each request, and remembers them.
pub struct Backend {
    pub address: SocketAddr,
    seen: Seen,
    /// Connections that have come, and those of them that have ended.
    pub opened: Arc<AtomicUsize>,
    pub closed: Arc<AtomicUsize>,
}

impl Backend {
    pub fn new(action: BackendAction) -> Self {
        Backend::with(move |_| action.clone())
    }

    pub fn with(action: impl Fn(&Message) -> BackendAction + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
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
                    backend_connection(stream.expect("a connection"), &seen, &*action);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        backend
    }

    pub fn seen(&self) -> Vec<Message> {
        self.seen.lock().expect("no panic").clone()
    }

    pub fn closed_count(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }
}

fn backend_connection(stream: TcpStream, seen: &Seen, action: &dyn Fn(&Message) -> BackendAction) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut stream = stream;
    while let Some(request) = read_message(&mut reader) {
        let action = action(&request);
        seen.lock().expect("no panic").push(request);
        // The proxy may have gone away meanwhile, which is its right.
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

/// Discovery for one proxy: each watch gets the lines sent so far and those that follow.
pub struct Discovery {
    pub address: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    pub requests: Seen,
    /// Ms from a question to the head of its answer.
    pub response_delay_ms: Arc<AtomicUsize>,
    _stop: Sender<()>,
}

impl Discovery {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
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
                        stream.expect("a connection"),
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
        self.lines.lock().expect("no panic").push(line.to_owned());
    }
}

fn serve_watch(
    mut stream: TcpStream,
    response_delay: Duration,
    lines: &Mutex<Vec<String>>,
    requests: &Seen,
    stop: &Mutex<Receiver<()>>,
) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let Some(request) = read_message(&mut reader) else {
        return;
    };
    // A watch that resumes gets only what is said from now on.
    let is_resumed = request.first.contains("after=");
    requests.lock().expect("no panic").push(request);
    let mut sent = if is_resumed {
        lines.lock().expect("no panic").len()
    } else {
        0
    };
    thread::sleep(response_delay);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut idle_rounds = 0;
    loop {
        let new_lines: Vec<String> = lines.lock().expect("no panic")[sent..].to_vec();
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
            stop.lock().expect("no panic").try_recv(),
            Err(std::sync::mpsc::TryRecvError::Disconnected)
        ) {
            return;
        }
    }
}

/// A line of the list.
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

/// A listening socket that all processes inherit, as the platform holds it.
pub fn inheritable_listener() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    socket2::SockRef::from(&listener)
        .set_cloexec(false)
        .expect("a flag");
    listener
}

/// A listener whose accept queue is full: connections to it don't come up until `accept` has made room.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any_port: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any_port.into()).expect("a port");
    socket.listen(0).expect("a queue");
    let listener = TcpListener::from(socket);
    let address = listener.local_addr().expect("an address");
    let mut queued = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        queued.push(stream);
        assert!(queued.len() < 100, "the queue never fills");
    }
    (listener, queued)
}

/// All backends up, the first version of the list.
pub fn all_up(backends: &[&Backend]) -> String {
    let line = |(i, b): (usize, &&Backend)| host(&format!("s-{i}"), b.address, "up", 0);
    list(
        1,
        true,
        &backends.iter().enumerate().map(line).collect::<Vec<_>>(),
    )
}

/// What a test may set otherwise.
pub struct Setup {
    pub cached_list: String,
    pub sockets: usize,
    pub idle_timeout: u32,
    pub connect_timeout: u32,
    /// Of every class; its aim is four fifths of it.
    pub deadline: u32,
    pub peer_addresses: Option<(SocketAddr, SocketAddr)>,
    /// How many proxies share the servers, where they can't tell each other anything.
    pub proxy_count: u32,
    /// Descriptors that the system allows the process.
    pub max_descriptors: Option<u32>,
    /// The text of the features' settings; `None` starts the proxy without the flag.
    pub properties: Option<String>,
    /// Whether standard error is left unread once the proxy listens.
    pub leave_stderr_unread: bool,
    /// Whether the list comes only when asked for.
    pub fetch_list: bool,
    /// Whether there is an operators' door.
    pub operations_enabled: bool,
    pub memory_mb: u32,
    /// The clients' listening socket, held by the test.
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

/// A proxy before servers at these addresses, all up.
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

/// A running proxy.
pub struct Proxy {
    child: Child,
    pub address: SocketAddr,
    /// Where operators call, if anywhere.
    pub operations_address: Option<SocketAddr>,
    pub log: Arc<Mutex<String>>,
    file: std::path::PathBuf,
    properties: Option<std::path::PathBuf>,
    /// Standard error, where it is left unread.
    pub unread_stderr: Option<Lines<BufReader<ChildStderr>>>,
}

static FILE_COUNTER: AtomicUsize = AtomicUsize::new(0);

/// Writes a configuration where the process finds it.
pub fn config_file(text: &str) -> std::path::PathBuf {
    let number = FILE_COUNTER.fetch_add(1, Ordering::SeqCst);
    let file = std::env::temp_dir().join(format!(
        "canvascart-proxy-{}-{number}.json",
        std::process::id()
    ));
    std::fs::write(&file, text).expect("a file");
    file
}

impl Proxy {
    pub fn start(discovery: &Discovery, setup: &Setup) -> Self {
        Proxy::run(&config(discovery.address, setup), setup)
    }

    /// Starts one with this configuration.
    pub fn with(text: &str) -> Self {
        Proxy::run(text, &Setup::default())
    }

    fn run(text: &str, setup: &Setup) -> Self {
        let file = config_file(text);
        let properties = setup.properties.as_deref().map(config_file);
        // Whichever program of the package under test runs a proxy.
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
                .map(|(_, address)| address.parse().expect("an address"))
        });
        let mut unread_stderr = Some(lines);
        if let Some(lines) = unread_stderr.take_if(|_| !setup.leave_stderr_unread) {
            let captured_log = log.clone();
            thread::spawn(move || {
                for line in lines.map_while(Result::ok) {
                    eprintln!("{line}");
                    captured_log
                        .lock()
                        .expect("no panic")
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

    /// Reads what has been left unread, up to the end.
    pub fn read_remaining_stderr(&mut self) -> String {
        let lines = self.unread_stderr.take().expect("nobody else reads");
        lines
            .map_while(Result::ok)
            .map(|line| line + "\n")
            .collect()
    }

    /// A call at the operators' door.
    pub fn call_operations(&self, call: &str) -> Option<Message> {
        self.send_to_operations(&format!("{call} HTTP/1.1\r\nHost: x\r\n\r\n"))
    }

    /// Any bytes sent there, and what comes back.
    pub fn send_to_operations(&self, text: &str) -> Option<Message> {
        Client::to(self.operations_address.expect("an operations listener")).ask(text)
    }

    /// A figure as it is reported, by its name with labels.
    pub fn metric(&self, name: &str) -> f64 {
        let text = self
            .call_operations("GET /_vars")
            .expect("the figures")
            .text();
        let line = text
            .lines()
            .find_map(|l| l.strip_prefix(name)?.strip_prefix(' ').map(str::to_owned));
        line.unwrap_or_else(|| panic!("{name} in {text}"))
            .parse()
            .expect("a number")
    }

    /// The processor time that it has taken, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("it runs");
        let fields = stat
            .rsplit_once(") ")
            .expect("its name")
            .1
            .split(' ')
            .skip(11)
            .take(2);
        fields
            .map(|f| f.parse::<f64>().expect("a number"))
            .sum::<f64>()
            / 100.0
    }

    /// The descriptors that it has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .expect("it runs")
            .count()
    }

    /// The most memory that it has had, in MB.
    pub fn memory_peak_mb(&self) -> f64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .expect("its peak");
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

    /// Replaces the configuration, as the platform does, and says so.
    pub fn reconfigure(&self, text: &str) {
        std::fs::write(&self.file, text).expect("a file");
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
        wait_for("the proxy's end", || {
            status = self.child.try_wait().expect("a child");
            status.is_some()
        });
        status.expect("just seen")
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
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
        stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, text: &str) {
        let _ = self.0.get_mut().write_all(text.as_bytes()); // a closed connection shows at the answer
    }

    pub fn answer(&mut self) -> Option<Message> {
        read_message(&mut self.0)
    }

    pub fn ask(&mut self, text: &str) -> Option<Message> {
        self.send(text);
        self.answer()
    }

    /// Whether something has come that has not been read.
    pub fn has_answer(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("a connection");
        let has_input = stream.peek(&mut [0; 1]).is_ok();
        stream.set_nonblocking(false).expect("a connection");
        has_input || !self.0.buffer().is_empty()
    }

    /// Ends the sending, as a client that leaves does.
    pub fn shutdown_write(&self) {
        self.0
            .get_ref()
            .shutdown(Shutdown::Write)
            .expect("a connection");
    }

    /// Whether the proxy closes the connection with nothing more on it.
    pub fn is_closed(&mut self) -> bool {
        loop {
            match self.0.read(&mut [0; 1]) {
                // A read with a time-out is not taken up again after a signal, such as a child's end.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::ConnectionReset,
                Ok(n) => return n == 0,
            }
        }
    }
}

/// A request that is safe to repeat.
pub fn page(id: &str) -> String {
    format!(
        "GET /page?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: 5\r\n\r\n"
    )
}

/// One that must not run twice.
pub fn submit(id: &str, timeout: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /submit?sid=7f HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout: {timeout}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
