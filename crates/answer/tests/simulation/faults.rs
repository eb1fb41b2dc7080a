//! Fault injection.

use super::*;

impl Simulation {
    pub(super) fn inject(&mut self, fault: Fault) {
        self.log.push(
            format!("{:>5} {fault:?}", self.now.as_millis())
                .replace(&CURRENT.to_string(), "current"),
        );
        let engine = |at| {
            if at == CURRENT {
                self.current_engine()
            } else {
                at
            }
        };
        let instance = |at| {
            if at == CURRENT {
                self.current_instance()
            } else {
                at
            }
        };
        match fault {
            Fault::KillEngine(at) => self.kill_engine(engine(at)),
            Fault::PauseEngine(at, time) => {
                let at = engine(at);
                self.engines[at].paused = true;
                self.inject_after(time, Fault::UnpauseEngine(at));
            }
            Fault::UnpauseEngine(at) => self.unpause_engine(at),
            Fault::Silence(at) => {
                let at = engine(at);
                self.connections
                    .values_mut()
                    .filter(|connection| connection.engine == at)
                    .for_each(|connection| connection.silent = true);
            }
            Fault::Slow(at, time) => {
                let at = engine(at);
                self.engines[at].extra_delay = time;
            }
            Fault::Load(at, version) => {
                self.engines[at].loaded.insert(version);
            }
            Fault::Unload(at) => self.unload_engine(at),
            Fault::KillInstance(at) => {
                let at = instance(at);
                self.instances[at].dead = true;
                self.drop_callers(at);
            }
            Fault::PauseInstance(at, time) => {
                let at = instance(at);
                self.instances[at].paused = true;
                self.drop_callers(at);
                self.inject_after(time, Fault::UnpauseInstance(at));
            }
            Fault::UnpauseInstance(at) => {
                self.instances[at].paused = false;
                let queued = std::mem::take(&mut self.instances[at].queued);
                for (driver, input) in queued {
                    self.input(driver, input);
                }
            }
            Fault::Reconnect(caller) => self.disconnect(caller, true),
            Fault::Disconnect(caller) => self.disconnect(caller, false),
            Fault::LoseKeepers => {
                self.keepers
                    .iter_mut()
                    .for_each(|keeper| *keeper = Keeper::default());
            }
            Fault::Frame(frame_fault) => self.frame_faults.push(frame_fault),
        }
    }

    pub(super) fn unload_engine(&mut self, at: usize) {
        self.engines[at].loaded.clear();
        self.engines[at].streams.clear();
        self.close_all(at);
    }

    pub(super) fn current_instance(&self) -> usize {
        let driver = self.callers[0].driver;
        driver.map_or(0, |driver| self.drivers[driver].instance)
    }

    pub(super) fn current_engine(&self) -> usize {
        let driver = self.callers[0].driver;
        let mut connections = self.connections.iter();
        let found = connections.rfind(|((owner, _), _)| Some(*owner) == driver);
        found.map_or(0, |(_, connection)| connection.engine)
    }

    pub(super) fn kill_engine(&mut self, at: usize) {
        self.engines[at].dead = true;
        self.close_all(at);
    }

    /// Continues a paused engine. It sends a late frame to each connection of another attempt, like
    /// a pooled connection that mixes up responses.
    pub(super) fn unpause_engine(&mut self, at: usize) {
        self.engines[at].paused = false;
        let queued = std::mem::take(&mut self.engines[at].queued);
        let mut late = Vec::new();
        for (key, connection) in &self.connections {
            for (attempt, stream) in &self.engines[at].streams {
                if *attempt != connection.attempt {
                    late.push((*key, late_frame(*attempt, stream, connection.next)));
                }
            }
        }
        late.into_iter()
            .for_each(|(key, frame)| self.send(key, frame));
        queued.into_iter().for_each(|call| self.serve(at, call));
    }

    pub(super) fn drop_callers(&mut self, instance: usize) {
        for caller in 0..self.callers.len() {
            let driver = self.callers[caller].driver;
            if driver.is_some_and(|driver| self.drivers[driver].instance == instance) {
                self.disconnect(caller, true);
            }
        }
    }

    pub(super) fn disconnect(&mut self, caller: usize, reconnects: bool) {
        if let Some(driver) = self.callers[caller].driver.take() {
            self.schedule(
                NETWORK_DELAY,
                Action::Input(driver, Input::CallerDisconnected),
            );
        }
        let is_finished = self.callers[caller].finish.is_some();
        self.callers[caller].disconnected = !reconnects;
        if reconnects && !is_finished {
            self.schedule(RECONNECT_DELAY, Action::Connect(caller));
        }
    }

    /// Returns a random fault. It never disables engine 0, which has both versions, or instance 0
    /// for good.
    pub(crate) fn random_fault(&mut self) -> Fault {
        let engine = self.rng.random_range(0..self.engines.len());
        let instance = self.rng.random_range(0..self.instances.len());
        let time = Duration::from_millis(self.rng.random_range(1..1500));
        let frame_fault = FRAME_FAULTS[self.rng.random_range(0..FRAME_FAULTS.len())];
        match self.rng.random_range(0..13) {
            0 if engine > 0 => Fault::KillEngine(engine),
            1 if instance > 0 => Fault::KillInstance(instance),
            2 => Fault::LoseKeepers,
            3 => Fault::PauseInstance(instance, time),
            4 => Fault::Reconnect(0),
            5 => Fault::Silence(engine),
            6 => Fault::PauseEngine(engine, time),
            7 => Fault::Slow(engine, time / 5),
            8 => Fault::Load(engine, "v2".into()),
            9 if engine > 0 => Fault::Unload(engine),
            _ => Fault::Frame(frame_fault),
        }
    }

    /// Returns a random time within the first 1.4 s.
    pub(crate) fn random_time(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(0..1400))
    }
}
