//! Instances of the router as processes, started and ended as the platform does it.

use std::ffi::{c_int, c_ulong};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use crate::http;

/// Program of the deploy file, relative to the repository.
const PROGRAM: &str = "target/release/yuccareel-entry";
const READY_TIMEOUT: Duration = Duration::from_secs(15);

pub const SIGKILL: c_int = 9;
pub const SIGCONT: c_int = 18;
pub const SIGSTOP: c_int = 19;
const PR_SET_PDEATHSIG: c_int = 1;

unsafe extern "C" {
    fn kill(process: c_int, signal: c_int) -> c_int;
    fn prctl(option: c_int, ...) -> c_int;
}

static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// Unused loopback address.
fn next_host() -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + (high ^ low) % 200, low, NEXT_HOST.fetch_add(1, Ordering::Relaxed))
}

/// First of `count` consecutive free ports.
fn free_ports(host: Ipv4Addr, count: u16) -> u16 {
    loop {
        let first = TcpListener::bind((host, 0)).expect("a free port");
        let port = first.local_addr().expect("a bound address").port();
        let is_free = |port: u16| TcpListener::bind((host, port)).is_ok();
        if port < 60_000 && (port + 1..port + count).all(is_free) {
            return port;
        }
    }
}

/// Settings of a deployment that differ between cases.
#[derive(Clone, Copy, Debug)]
pub struct DeploymentSettings {
    pub store: SocketAddr,
    pub memory_mb: u64,
}

/// Running instance. Dropping the value kills the process.
pub struct EntryProcess {
    pub name: String,
    host: Ipv4Addr,
    first_port: u16,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Child,
}

impl EntryProcess {
    /// Starts an instance and waits until it is ready.
    pub fn start(index: usize, settings: DeploymentSettings) -> Option<Self> {
        let host = next_host();
        let name = format!("front-evesham-{index}");
        let first_port = free_ports(host, 6);
        let folder = std::env::temp_dir().join(format!("yuccareel-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let settings_path = folder.join(format!("{name}.json"));
        let log_path = folder.join(format!("{name}.log"));
        fs::write(&settings_path, settings_text(&name, host, first_port, settings)).ok()?;
        let child = spawn(&settings_path, &log_path).ok()?;
        let entry = Self { name, host, first_port, settings_path, log_path, child };
        entry.wait_until_ready().then_some(entry)
    }

    /// Address at which the instance takes calls.
    pub fn front(&self) -> SocketAddr {
        SocketAddr::from((self.host, self.first_port))
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.host, self.first_port + 1));
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        if stream.set_read_timeout(Some(Duration::from_secs(1))).is_err() {
            return false;
        }
        let request = "GET /yuccareel/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let sent = std::io::Write::write_all(&mut stream, request.as_bytes());
        let mut reader = http::MessageReader::new(stream);
        sent.is_ok() && reader.read_head().is_ok_and(|head| head.status() == 200)
    }

    fn wait_until_ready(&self) -> bool {
        let started = Instant::now();
        while !self.is_ready() {
            if started.elapsed() > READY_TIMEOUT {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }

    pub fn signal(&self, signal: c_int) {
        // SAFETY: the call takes two integers; the process is a child that was not waited for.
        unsafe { kill(self.child.id() as c_int, signal) };
    }

    /// Resident memory of the process in bytes; 0 once it has ended.
    pub fn memory_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let size = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok());
        size.map_or(0, |kilobytes: u64| kilobytes * 1_024)
    }

    /// Kills the process, as the platform does with one whose memory is over the limit; returns
    /// whether it had run until then.
    pub fn end(&mut self) -> bool {
        let was_running = matches!(self.child.try_wait(), Ok(None));
        let _ = self.child.kill();
        let _ = self.child.wait();
        was_running
    }

    /// Number of log lines that contain a text.
    pub fn log_count(&self, text: &str) -> usize {
        let log = fs::read_to_string(&self.log_path).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).count()
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_path);
        let _ = fs::remove_file(&self.log_path);
        if let Some(folder) = self.settings_path.parent() {
            // Fails until the last instance is gone.
            let _ = fs::remove_dir(folder);
        }
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> std::io::Result<Child> {
    let log = fs::File::options().create(true).append(true).open(log)?;
    let kept = ["PATH", "HOME", "LANG"];
    let kept = kept.iter().filter_map(|name| Some((name, std::env::var_os(name)?)));
    let mut command = Command::new(PROGRAM);
    command.env_clear().envs(kept).env("YUCCAREEL_CONFIG", settings);
    command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
    // SAFETY: `prctl` is async-signal-safe; it ends the instance with its parent.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as c_ulong);
            Ok(())
        });
    }
    command.spawn()
}

/// Settings in the platform's format, with the bounds of the Rungwell deployment.
fn settings_text(name: &str, host: Ipv4Addr, port: u16, settings: DeploymentSettings) -> String {
    let DeploymentSettings { store, memory_mb } = settings;
    let [ready, control, directory, internal] = [port + 1, port + 2, port + 3, port + 4];
    format!(
        r#"{{"nodeName":"{name}","role":"entry","machineClass":"front",
"serves":["front","control","directory"],"ip":"{host}","zone":"evesham","region":"midlands",
"zones":{{"evesham":"midlands","pershore":"midlands"}},
"listen":{{"front":"{host}:{port}","ready":"{host}:{ready}","control":"{host}:{control}",
"directory":"{host}:{directory}"}},
"internalPorts":[{internal},{}],"seeds":[],"firstStart":false,"inTolerance":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":{memory_mb},"maxFds":4100,"linkMbps":1000.0,
"diskMb":0}},"dataDir":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants",
"places","platform","rollout"],"faultTolerance":{{"machines":1,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"stableWindowMs":3000,"ackMs":4000,"catchUpS":4,
"drainMs":2000,"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,
"maxStretchMs":5000,"failClosed":false,"revokeMs":5000,"retryBudgetRatio":0.9,
"budgetWindowS":10,"retrySlack":56,"exposureShare":0.15,"exposureSlack":30,"rollbackMs":5000,
"coldOverage":1.5,"coldSlack":5,"evacuateMs":5000,"recoveryS":12,"passMs":120,
"reuseWindowS":10,"sessionS":5,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,
"valueBytes":1048576,"ttlMinMs":1000}}}}"#,
        internal + 1
    )
}
