//! Runs all platform stand-ins in one process, for daemons started by hand.
//!
//! Prints the addresses as JSON and serves until it is interrupted.

use std::sync::Arc;
use std::time::Duration;

use yuccareel::standins::{control, engine, platform, rating, server, service};

/// Name, data centre, model, version, ability.
const ENGINES: [(&str, &str, &str, &str, f64); 6] = [
    ("small-1", "evesham", "small", "v1", 0.6),
    ("small-2", "pershore", "small", "v1", 0.6),
    ("small-3", "evesham", "small", "v2", 0.65),
    ("small-4", "pershore", "small", "v2", 0.65),
    ("large-1", "evesham", "large", "v1", 0.97),
    ("large-2", "pershore", "large", "v1", 0.97),
];

fn options() -> getopts::Options {
    let mut options = getopts::Options::new();
    let entry = "entry instance to list; may be given several times";
    options.optmulti("", "entry", entry, "NAME,DATA_CENTRE,ADDRESS,PEER_ADDRESS");
    options.optflag("h", "help", "print this help");
    options
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = options().parse(&arguments)?;
    if matches.opt_present("help") {
        print!("{}", options().usage("Runs the platform stand-ins on loopback."));
        return Ok(());
    }
    let platform = Arc::new(start_platform().await);
    for entry in matches.opt_strs("entry") {
        list_entry(&platform, &entry)?;
    }
    let rating = rating::RatingStandin::default();
    let (rating_address, _rating) = server::serve(rating::router(rating.clone())).await;
    let (control_address, _control) = server::serve(control::router(&platform, &rating)).await;
    println!(
        "{:#}",
        serde_json::json!({
            "kv_url": format!("http://{}", platform.kv_address),
            "instance_list_url": format!("http://{}", platform.list_address),
            "rating_url": format!("http://{rating_address}"),
            "control_url": format!("http://{control_address}"),
        })
    );
    tokio::signal::ctrl_c().await?;
    Ok(())
}

async fn start_platform() -> platform::PlatformStandin {
    let mut platform = platform::PlatformStandin::start().await;
    for (name, data_centre, model, version, skill) in ENGINES {
        let options = engine::EngineOptions {
            name: name.to_owned(),
            model: model.to_owned(),
            version: version.to_owned(),
            skill,
            token_time: Duration::from_millis(5),
            answer_tokens: 16,
            cold_concurrency: 2,
            warm_concurrency: 16,
            warm_after: 8,
        };
        platform.add_engine(data_centre, options, true, true).await;
    }
    let desk = service::ServiceStandin::default();
    platform.add_service("evesham", "hire-desk", "desk-1", desk.clone()).await;
    platform.add_service("pershore", "hire-desk", "desk-2", desk).await;
    platform
}

fn list_entry(
    platform: &platform::PlatformStandin,
    entry: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    let parts: Vec<&str> = entry.split(',').collect();
    let [name, data_centre, address, peer_address] = parts[..] else {
        return Err(format!("--entry {entry}: expected four parts").into());
    };
    platform.list_entry(name, address.parse()?, peer_address.parse()?, data_centre);
    Ok(())
}
