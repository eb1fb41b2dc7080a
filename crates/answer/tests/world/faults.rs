//! The faults.

use super::*;

impl World {
    pub(super) fn inject(&mut self, fault: Fault) {
        self.log.push(
            format!("{:>5} {fault:?}", self.now.as_millis())
                .replace(&CURRENT.to_string(), "current"),
        );
        let engine = |at| if at == CURRENT { self.writer() } else { at };
        let router = |at| if at == CURRENT { self.driver() } else { at };
        match fault {
            Fault::Kill(at) => self.kill(engine(at)),
            Fault::Pause(at, time) => {
                let at = engine(at);
                self.engines[at].paused = true;
                self.later(time, Fault::Wake(at));
            }
            Fault::Wake(at) => self.wake(at),
            Fault::Silence(at) => {
                let at = engine(at);
                self.connections
                    .values_mut()
                    .filter(|reading| reading.engine == at)
                    .for_each(|reading| reading.silent = true);
            }
            Fault::Slow(at, time) => {
                let at = engine(at);
                self.engines[at].slow = time;
            }
            Fault::Load(at, version) => {
                self.engines[at].loaded.insert(version);
            }
            Fault::Unload(at) => self.unload(at),
            Fault::KillRouter(at) => {
                let at = router(at);
                self.routers[at].dead = true;
                self.drop_callers(at);
            }
            Fault::PauseRouter(at, time) => {
                let at = router(at);
                self.routers[at].paused = true;
                self.drop_callers(at);
                self.later(time, Fault::WakeRouter(at));
            }
            Fault::WakeRouter(at) => {
                self.routers[at].paused = false;
                let held = std::mem::take(&mut self.routers[at].held);
                for (drive, input) in held {
                    self.input(drive, input);
                }
            }
            Fault::Reconnect(caller) => self.part(caller, true),
            Fault::Leave(caller) => self.part(caller, false),
            Fault::LoseKeepers => {
                self.keepers
                    .iter_mut()
                    .for_each(|keeper| *keeper = Keeper::default());
            }
            Fault::Frame(damage) => self.damage.push(damage),
        }
    }

    pub(super) fn unload(&mut self, at: usize) {
        self.engines[at].loaded.clear();
        self.engines[at].streams.clear();
        self.hang_up_all(at);
    }

    pub(super) fn driver(&self) -> usize {
        let drive = self.callers[0].drive;
        drive.map_or(0, |drive| self.drives[drive].router)
    }

    pub(super) fn writer(&self) -> usize {
        let drive = self.callers[0].drive;
        let mut connections = self.connections.iter();
        let found = connections.rfind(|((of, _), _)| Some(*of) == drive);
        found.map_or(0, |(_, reading)| reading.engine)
    }

    pub(super) fn kill(&mut self, at: usize) {
        self.engines[at].dead = true;
        self.hang_up_all(at);
    }

    /// Late frames go to the connections of other attempts, as over a pooled one that mixes them
    /// up.
    pub(super) fn wake(&mut self, at: usize) {
        self.engines[at].paused = false;
        let held = std::mem::take(&mut self.engines[at].held);
        let mut late = Vec::new();
        for (key, reading) in &self.connections {
            for (attempt, written) in &self.engines[at].streams {
                if *attempt != reading.attempt {
                    late.push((*key, late_frame(*attempt, written, reading.next)));
                }
            }
        }
        late.into_iter()
            .for_each(|(key, frame)| self.send(key, frame));
        held.into_iter().for_each(|call| self.serve(at, call));
    }

    pub(super) fn drop_callers(&mut self, router: usize) {
        for caller in 0..self.callers.len() {
            let drive = self.callers[caller].drive;
            if drive.is_some_and(|drive| self.drives[drive].router == router) {
                self.part(caller, true);
            }
        }
    }

    pub(super) fn part(&mut self, caller: usize, back: bool) {
        if let Some(drive) = self.callers[caller].drive.take() {
            self.after(WIRE, Act::Input(drive, Input::CallerDisconnected));
        }
        let over = self.callers[caller].finish.is_some();
        self.callers[caller].left = !back;
        if back && !over {
            self.after(RECONNECT, Act::Connect(caller));
        }
    }

    /// Draws a fault that leaves engine 0, which has both versions, and router 0 able to go on.
    pub(crate) fn draw(&mut self) -> Fault {
        let engine = self.rng.random_range(0..self.engines.len());
        let router = self.rng.random_range(0..self.routers.len());
        let time = Duration::from_millis(self.rng.random_range(1..1500));
        let damage = DAMAGES[self.rng.random_range(0..DAMAGES.len())];
        match self.rng.random_range(0..13) {
            0 if engine > 0 => Fault::Kill(engine),
            1 if router > 0 => Fault::KillRouter(router),
            2 => Fault::LoseKeepers,
            3 => Fault::PauseRouter(router, time),
            4 => Fault::Reconnect(0),
            5 => Fault::Silence(engine),
            6 => Fault::Pause(engine, time),
            7 => Fault::Slow(engine, time / 5),
            8 => Fault::Load(engine, "v2".into()),
            9 if engine > 0 => Fault::Unload(engine),
            _ => Fault::Frame(damage),
        }
    }

    /// Draws a moment within the first 1.4 s.
    pub(crate) fn moment(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(0..1400))
    }
}
