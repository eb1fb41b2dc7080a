//! The instances of celerypond, started as separate processes with the command of the deploy file.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use crate::{record::Record, sys};

pub const FRONT_PORT: u16 = 8740;
const DIRECTORY_PORT: u16 = 8746;
const CONTROL_PORT: u16 = 8748;
const READY_PORT: u16 = 8749;
const STORE_PORT: u16 = 8742;
const ENGINE_PORT: u16 = 8080;
const CLAIM_PORT: u16 = 9998;
/// The zones of the deployment.
pub const ZONES: [&str; 3] = ["tacoma-yard", "portland-yard", "spokane-yard"];

/// The disruption that lasts until the instance reaches the store again.
pub const CUT: &str = "cut off from the store";

/// A range of loopback addresses that only this run uses.
pub struct Addresses {
    second: u8,
    third: u8,
    _claim: TcpListener,
}

impl Addresses {
    pub fn claim() -> io::Result<Self> {
        let start = std::process::id();
        for n in 0..40_000_u32 {
            let range = (start + n) % 40_000;
            let (second, third) = (50 + (range / 200) as u8, 1 + (range % 200) as u8);
            let address = Ipv4Addr::new(127, second, third, 254);
            if let Ok(claim) = TcpListener::bind((address, CLAIM_PORT)) {
                return Ok(Self {
                    second,
                    third,
                    _claim: claim,
                });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn ip(&self, last: usize) -> IpAddr {
        Ipv4Addr::new(127, self.second, self.third, last as u8).into()
    }

    pub fn instance(&self, index: usize) -> IpAddr {
        self.ip(10 + index)
    }

    /// The address at which an instance reaches the store.
    pub fn store(&self, instance: usize) -> SocketAddr {
        SocketAddr::new(self.ip(200 + instance), STORE_PORT)
    }

    pub fn engine(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(100 + index), ENGINE_PORT)
    }

    pub fn directory(&self, instance: usize) -> SocketAddr {
        SocketAddr::new(self.instance(instance), DIRECTORY_PORT)
    }
}

/// A disruption of an instance, or its end. Its process has run undisturbed only if none lies in
/// the time that the rules look at.
#[derive(Clone, Debug)]
pub struct Disruption {
    pub at: Duration,
    pub instance: usize,
    pub what: &'static str,
}

/// The running instances. They are killed when this is dropped.
pub struct Cluster {
    pub addresses: Arc<Addresses>,
    pub count: usize,
    program: PathBuf,
    root: PathBuf,
    folder: PathBuf,
    record: Arc<Record>,
    children: Mutex<Vec<Option<Child>>>,
    disruptions: Mutex<Vec<Disruption>>,
}

impl Cluster {
    pub fn new(
        root: &Path,
        addresses: &Arc<Addresses>,
        count: usize,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let program = root.join("target/release/celerypondd");
        if !program.is_file() {
            return Err(io::Error::other("target/release/celerypondd is not built"));
        }
        let folder = std::env::temp_dir().join(format!("celerypond-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(Arc::new(Self {
            addresses: Arc::clone(addresses),
            count,
            program,
            root: root.to_owned(),
            folder,
            record: Arc::clone(record),
            children: Mutex::new((0..count).map(|_| None).collect()),
            disruptions: Mutex::default(),
        }))
    }

    /// Starts an instance.
    pub fn start(&self, index: usize) -> io::Result<()> {
        let path = self.folder.join(format!("{index}.conf"));
        fs::write(&path, self.settings(index))?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{index}.log")))?;
        let mut command = Command::new(&self.program);
        let child = sys::end_with_parent(&mut command)
            .arg("--relay")
            // The kernel wakes the stopped processes of a group that loses its session's shell.
            .process_group(0)
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CELERYPOND_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.say(format!("instance {index}: started"));
        self.children()[index] = Some(child);
        self.note(index, "start");
        Ok(())
    }

    /// Kills an instance.
    pub fn kill(&self, index: usize) {
        if let Some(mut child) = self.children()[index].take() {
            let _ = child.kill();
            let _ = child.wait();
            self.note(index, "kill");
            self.record.say(format!("instance {index}: killed"));
        }
    }

    /// Freezes or thaws an instance.
    pub fn signal(&self, index: usize, signal: i32, what: &'static str) {
        if let Some(child) = &self.children()[index] {
            sys::signal(child.id(), signal);
            self.note(index, what);
            self.record.say(format!("instance {index}: {what}"));
        }
    }

    /// Records a disruption that another part of the test makes.
    pub fn note(&self, instance: usize, what: &'static str) {
        let at = self.record.now();
        let mut disruptions = self
            .disruptions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        disruptions.push(Disruption { at, instance, what });
    }

    /// Returns whether an instance had no disruption within `contact` before a moment, and has none
    /// until `margin` after it. A freeze or a cut lasts until its end is noted.
    pub fn is_in_touch(&self, instance: usize, at: Duration, contact: Duration) -> bool {
        let disruptions = self
            .disruptions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut own = disruptions
            .iter()
            .filter(|disruption| disruption.instance == instance);
        let is_near =
            |disruption: &Disruption| disruption.at <= at && disruption.at + contact >= at;
        let last = own
            .clone()
            .filter(|disruption| disruption.at <= at)
            .max_by_key(|disruption| disruption.at);
        let is_under_way = last.is_none_or(|last| matches!(last.what, "kill" | "frozen" | CUT));
        !is_under_way && !own.any(is_near)
    }

    pub fn index_of(&self, ip: Option<IpAddr>) -> Option<usize> {
        (0..self.count).find(|index| Some(self.addresses.instance(*index)) == ip)
    }

    /// Returns the ids of instances whose process has ended by itself.
    pub fn ended(&self) -> Vec<usize> {
        let mut children = self.children();
        let ended = children
            .iter_mut()
            .enumerate()
            .filter_map(|(index, child)| {
                let status = child.as_mut()?.try_wait().ok()?;
                status.map(|_| index)
            });
        ended.collect()
    }

    /// The folder with the settings and the logs of the instances.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Kills all instances.
    pub fn kill_all(&self) {
        for child in self.children().iter_mut() {
            if let Some(mut child) = child.take() {
                sys::signal(child.id(), sys::SIGCONT);
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }

    fn children(&self) -> std::sync::MutexGuard<'_, Vec<Option<Child>>> {
        self.children.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the settings file of an instance, with the values of a small deployment.
    fn settings(&self, index: usize) -> String {
        let ip = self.addresses.instance(index);
        let zone = ZONES[index % ZONES.len()];
        let seeds: Vec<String> = (0..self.count.min(3))
            .map(|seed| format!("{}:{CONTROL_PORT}", self.addresses.instance(seed)))
            .collect();
        let store = self.addresses.store(index);
        let zones: String = ZONES
            .iter()
            .map(|zone| format!("zones.{zone}=cascadia\n"))
            .collect();
        format!(
            "node=front-{zone}-{index}\nrole=relay\nmachineClass=front\nserves=front,directory,control\n\
             ip={ip}\nzone={zone}\nregion=cascadia\n{zones}\
             listen.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\n\
             listen.control={ip}:{CONTROL_PORT}\nlisten.directory={ip}:{DIRECTORY_PORT}\n\
             internalPorts=7200,7215\nseeds={}\nbootstrap=true\nlossCounts=false\n\
             limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
             limits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\nentry=directory\n\
             heartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,platform\n\
             faultTolerance.machines=2\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n\
             bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\n\
             bounds.enforceRevocation=false\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.8\n\
             bounds.budgetWindowS=10\nbounds.budgetSlack=150\nbounds.exposeShare=0.1\n\
             bounds.exposeSlack=50\nbounds.rollbackMs=5000\nbounds.recoverS=12\nbounds.passMs=120\n\
             bounds.againS=10\nbounds.ttl_max_s=5\nplatform.address={store}\n\
             platform.form=objects\nplatform.writesPerS=400\nplatform.readsPerS=2000\n\
             platform.historyS=20\nplatform.valueBytes=1048576\nplatform.ttlMinMs=1000\n",
            seeds.join(",")
        )
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.kill_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
