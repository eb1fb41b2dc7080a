//! Runs the cases of the review: the project's own processes between small stand-ins.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod clients;
mod cluster;
mod engine;
mod http;
mod record;
mod store;
mod sys;

use std::{
    path::{Path, PathBuf},
    process::exit,
    sync::{Arc, OnceLock},
    thread,
    time::Duration,
};

use cluster::{Addresses, Cluster};
use record::Record;
use store::Store;

/// The time after which a run ends, whatever its state.
const TIME_LIMIT: Duration = Duration::from_secs(112);
const BROKEN: i32 = 1;
const HELD: i32 = 0;
const NOT_RUN: i32 = 2;

/// How a case ended.
pub enum Verdict {
    Broken,
    Held,
    /// The case could not run, for this reason.
    NotRun(String),
}

/// What a case needs.
pub struct Bed {
    pub has_trouble: bool,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub cluster: Arc<Cluster>,
}

impl Bed {
    /// Starts the store; the instances are started by the case.
    fn new(
        root: &Path,
        instances: usize,
        has_trouble: bool,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let addresses = Arc::new(Addresses::claim()?);
        let cluster = Cluster::new(root, &addresses, instances, record)?;
        let stores: Vec<_> = (0..instances).map(|index| addresses.store(index)).collect();
        Ok(Self {
            has_trouble,
            record: Arc::clone(record),
            store: Store::start(&stores, record)?,
            cluster,
        })
    }
}

static CLUSTER: OnceLock<Arc<Cluster>> = OnceLock::new();

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-harness CASE FOLDER");
        exit(NOT_RUN);
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new());
    record.say(format!("case {case}, disruption: {has_trouble}"));
    let verdict = run(&case, &folder, has_trouble, &record);
    if let Some(cluster) = CLUSTER.get() {
        cluster.kill_all();
    }
    let code = match verdict {
        Verdict::Broken => BROKEN,
        Verdict::Held => HELD,
        Verdict::NotRun(reason) => {
            record.say(format!("could not run: {reason}"));
            NOT_RUN
        }
    };
    record.say(format!("exit code {code}"));
    record.write(&folder.join("record.txt"));
    if let Some(cluster) = CLUSTER.get() {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(cluster.folder());
        }
    }
    exit(code);
}

fn run(case: &str, folder: &Path, has_trouble: bool, record: &Arc<Record>) -> Verdict {
    let Some(root) = folder.canonicalize().ok().and_then(|path| {
        let root = path.parent()?.parent()?;
        Some(root.to_owned())
    }) else {
        return Verdict::NotRun("the folder of the case is missing".to_owned());
    };
    let (instances, case): (usize, fn(&Bed) -> Verdict) = match case {
        "stale-driver" => (4, cases::stale_driver::run),
        "cut-driver" => (4, cases::cut_driver::run),
        "left-engine" => (5, cases::left_engine::run),
        _ => return Verdict::NotRun(format!("no case {case}")),
    };
    let bed = match Bed::new(&root, instances, has_trouble, record) {
        Ok(bed) => bed,
        Err(error) => return Verdict::NotRun(error.to_string()),
    };
    let _ = CLUSTER.set(Arc::clone(&bed.cluster));
    let watched = Arc::clone(&bed.cluster);
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.kill_all();
        eprintln!("time limit reached");
        exit(NOT_RUN);
    });
    case(&bed)
}
