//! Cost of the control plane at one idle instance.
//!
//! This program is the platform and the other instances; the measured instance is
//! a process of its own, which `scripts/control_cost.sh` starts with the settings
//! printed here. Its process id is read from the file given.

mod control_world;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::time::Duration;

use control_world::{ControlWorld, WorldSize, process_use};
use tokio::time::Instant;
use yuccareel::token_index;

/// Time in which the measured instance must have started.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Time before the measurement, in which the instance learns of all others.
const SETTLE: Duration = Duration::from_secs(15);

#[tokio::main]
async fn main() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("", "nodes", "instances, the measured one included, default 8", "N");
    options.optflag("", "real", "the other instances are real ones in this process");
    options.optopt("", "replicas", "backend servers, default 22", "N");
    options.optopt("", "customers", "customers, default 10", "N");
    options.optopt("", "changes", "configuration changes per second, default 0", "N");
    options.optopt("", "seconds", "time of the measurement, default 20", "N");
    options.optopt("", "settings-file", "where to write the settings of the instance", "FILE");
    options.optopt("", "pid-file", "where to read its process id", "FILE");
    let outcome = match options.parse(std::env::args().skip(1)) {
        Ok(matches) => run(&matches).await,
        Err(error) => Err(format!("{error}\n{}", options.usage("control_cost [options]"))),
    };
    match outcome {
        Ok(row) => {
            println!("{row}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(matches: &getopts::Matches) -> Result<String, String> {
    let number = |name: &str, default: f64| {
        let value = matches.opt_get_default(name, default);
        value.map_err(|error| format!("--{name}: {error}"))
    };
    let size = WorldSize {
        nodes: number("nodes", 8.0)? as usize,
        real: matches.opt_present("real"),
        replicas: number("replicas", 22.0)? as usize,
        customers: number("customers", 10.0)? as usize,
        changes_per_s: number("changes", 0.0)?,
    };
    let file = |name: &str| {
        matches.opt_str(name).map(PathBuf::from).ok_or_else(|| format!("--{name} is missing"))
    };
    let (settings_file, pid_file) = (file("settings-file")?, file("pid-file")?);
    let mut world = ControlWorld::start(size).await;
    world.release_ports();
    write_settings(&world, &settings_file).map_err(|error| error.to_string())?;
    let pid = wait_for_pid(&pid_file).await?;
    let time = Duration::from_secs_f64(number("seconds", 20.0)?);
    eprintln!("{size:?}: settling for {SETTLE:?}, measuring for {time:?}");
    measure(&world, pid, time).await
}

/// Settings as environment variables, one a line.
fn write_settings(world: &ControlWorld, path: &Path) -> std::io::Result<()> {
    let text = format!(
        "YUCCAREEL_LISTEN={}\nYUCCAREEL_PEER_LISTEN={}\nYUCCAREEL_PEER_ADVERTISE={}\n\
         YUCCAREEL_NAME={}\nYUCCAREEL_DATA_CENTRE=dc-00\nYUCCAREEL_KV_URL=http://{}\n\
         YUCCAREEL_INSTANCE_LIST_URL=http://{}\nYUCCAREEL_PEER_SECRET='{}'\n\
         YUCCAREEL_OPERATOR_TOKEN_SHA256={}\n\
         YUCCAREEL_LOG_LEVEL=error\n",
        world.listen,
        world.peer_listen,
        world.peer_advertise,
        control_world::MEASURED,
        world.platform.kv_address,
        world.platform.list_address,
        control_world::SECRET,
        token_index::token_digest_hex("operator"),
    );
    // The reader must never see half a file.
    let partial = path.with_extension("partial");
    std::fs::write(&partial, text)?;
    std::fs::rename(partial, path)
}

async fn wait_for_pid(path: &Path) -> Result<u32, String> {
    let started = Instant::now();
    while started.elapsed() < START_LIMIT {
        let text = std::fs::read_to_string(path).unwrap_or_default();
        if let Ok(pid) = text.trim().parse() {
            return Ok(pid);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("no process id within {START_LIMIT:?}"))
}

async fn measure(world: &ControlWorld, pid: u32, time: Duration) -> Result<String, String> {
    let gone = || format!("process {pid} has ended");
    tokio::time::sleep(SETTLE).await;
    let before = process_use::read(pid).ok_or_else(gone)?;
    let bytes = world.bytes.load(Ordering::Relaxed);
    let calls = world.platform.kv.calls();
    let started = Instant::now();
    let mut changes = 0;
    while started.elapsed() < time {
        let due = started.elapsed().as_secs_f64() * world.size.changes_per_s;
        if due > changes as f64 {
            changes += 1;
            world.change(changes).await;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let after = process_use::read(pid).ok_or_else(gone)?;
    let cpu = (after.cpu - before.cpu).as_secs_f64() / seconds * 100.0;
    let mut bytes = (world.bytes.load(Ordering::Relaxed) - bytes) as f64 / seconds;
    // Links count the traffic of all real instances; each byte has two ends.
    if world.size.real {
        bytes *= 2.0 / world.size.nodes as f64;
    }
    let status = ready_status(world).await.unwrap_or_default();
    let kv = (world.platform.kv.calls().0 - calls.0) as f64 / seconds;
    let size = world.size;
    Ok(format!(
        "{:>6}{:>6}{:>10}{:>11}{:>9.2}{:>9.2}{:>9.1}{:>9.2}{:>9}{:>9.1}",
        size.nodes,
        if size.real { "real" } else { "fake" },
        size.replicas,
        size.customers,
        size.changes_per_s,
        cpu,
        after.resident_bytes as f64 / f64::from(1 << 20),
        bytes / 1_000.0,
        status,
        kv,
    ))
}

/// Whether the instance is ready, so that no idle outsider is measured.
async fn ready_status(world: &ControlWorld) -> Result<String, reqwest::Error> {
    let reply = reqwest::get(format!("http://{}/readyz", world.listen)).await?;
    Ok(reply.status().as_u16().to_string())
}
