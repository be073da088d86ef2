//! What all cases share: the record, random numbers, the clock, free ports, and the processes under test.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The lines of `record.txt`, each with the seconds since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn open_record(path: &Path) -> io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set(Record {
        file: Mutex::new(file),
        start: Instant::now(),
    });
    Ok(())
}

pub fn record(line: &str) {
    let record = RECORD.get().expect("the record is open");
    let at = record.start.elapsed().as_secs_f64();
    let mut file = record.file.lock().unwrap();
    let _ = writeln!(file, "{at:9.4} {line}");
}

#[macro_export]
macro_rules! rec {
    ($($arg:tt)*) => { $crate::util::record(&format!($($arg)*)) };
}

/// Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs_f64()
        * 1e3
}

pub fn ms(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds.max(0.0) / 1e3)
}

/// A small generator of random numbers (xorshift64*).
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..8 {
            rng.next();
        }
        rng
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 >> 12;
        self.0 ^= self.0 << 25;
        self.0 ^= self.0 >> 27;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }
}

pub fn free_tcp_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// The root of the project.
pub fn root() -> PathBuf {
    std::env::var("REVIEW_ROOT")
        .map(PathBuf::from)
        .expect("REVIEW_ROOT is set by run.sh")
}

/// A private temporary folder of the case, removed at its end.
pub fn work_folder() -> &'static Path {
    static FOLDER: OnceLock<PathBuf> = OnceLock::new();
    FOLDER.get_or_init(|| {
        let folder = std::env::temp_dir().join(format!("irisrouter-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("the temporary folder can be written");
        folder
    })
}

static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that this case started, and removes its folder.
pub fn clean_up() {
    for child in CHILDREN.lock().unwrap().iter() {
        let mut child = child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
    let _ = fs::remove_dir_all(work_folder());
}

/// Ends the case with an exit code.
pub fn finish(code: i32, why: &str) -> ! {
    rec!("RESULT {code}: {why}");
    println!("result {code}: {why}");
    clean_up();
    std::process::exit(code);
}

/// Time of the last oversleep of over 10 ms of a thread that only sleeps, in Unix milliseconds.
static LAST_LAG: AtomicU64 = AtomicU64::new(0);

/// Watches for moments in which this machine kept the driver's own threads waiting.
pub fn watch_lag() {
    thread::spawn(|| loop {
        let before = unix_ms();
        thread::sleep(Duration::from_millis(2));
        if unix_ms() - before > 12.0 {
            LAST_LAG.store(unix_ms() as u64, Ordering::SeqCst);
        }
    });
}

/// Whether the driver's threads were kept waiting in the last 300 ms, so that its own times can't be trusted.
pub fn lagged_lately() -> bool {
    unix_ms() - (LAST_LAG.load(Ordering::SeqCst) as f64) < 300.0
}

/// Ends the case with 2 after this time, whatever it does.
pub fn watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        finish(2, "the case did not end in time");
    });
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"))
        .expect("run");
    let value = line.split_once('=').expect("run = ...").1.trim();
    value.trim_matches('"').to_string()
}

/// A running gateway.
pub struct Gateway {
    pub name: String,
    pub listen: SocketAddr,
    child: Arc<Mutex<Child>>,
    log: PathBuf,
}

impl Gateway {
    /// Starts a gateway with the command of the deploy file.
    pub fn start(name: &str, listen: SocketAddr, config: &str) -> Self {
        let folder = work_folder().join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let config_path = work_folder().join(format!("{name}.json"));
        fs::write(&config_path, config).unwrap();
        let log = work_folder().join(format!("{name}.log"));
        let log_file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .unwrap();
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &run_command()])
            .current_dir(root())
            .env("BALANCER_CONFIG", &config_path)
            .env("BALANCER_NAME", name)
            .env("TMPDIR", &folder)
            .env_remove("BALANCER_LISTEN")
            .env_remove("BALANCER_DISCOVERY")
            .env_remove("BALANCER_CONSOLE")
            .env_remove("BALANCER_PASSED_SOCKET")
            .env_remove("IRISROUTER_OPERATORS")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file);
        let child = match command.spawn() {
            Ok(child) => Arc::new(Mutex::new(child)),
            Err(error) => finish(2, &format!("the gateway cannot be started: {error}")),
        };
        CHILDREN.lock().unwrap().push(Arc::clone(&child));
        rec!("gateway {name} started, pid {}", child.lock().unwrap().id());
        Gateway {
            name: name.to_string(),
            listen,
            child,
            log,
        }
    }

    /// Waits until the gateway answers an empty query, as the front does.
    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if let Ok(mut client) = crate::client::Client::connect(self.listen) {
                if client.empty_query().unwrap_or(false) {
                    rec!("gateway {} is ready", self.name);
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        finish(2, &format!("gateway {} is not ready", self.name));
    }

    /// Whether the process still runs.
    pub fn runs(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Copies the gateway's log into the record.
    pub fn record_log(&self) {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        for line in text.lines() {
            rec!("log of {}: {line}", self.name);
        }
    }
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
