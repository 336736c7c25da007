//! A rehearsal for real: front nodes as processes, stores, discovery and clients as threads of this one, on loopback. All that
//! was started ends with the rehearsal, however it ends.

mod callers;
mod fronts;
mod store;

use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use orchidvalve_standin::agent::{Agent, Mood};
use serde_json::{Value, json};

use crate::audit::{Auditors, Event};
use crate::load::arrivals;
use crate::report::{Report, Told, report};
use crate::roster::{Listed, Phase, Roster};
use crate::scenario::{Kind, Scenario, Trouble, ms};
use crate::timeline::{Act, Timeline, Troubles};
use crate::{MS, Nanos, SECOND, store_name};
use callers::Callers;
use fronts::{Fronts, Stage};
use store::StandStore;

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// All that happened, in the order of its times.
pub struct Log {
    began: Instant,
    unix_ms: i64,
    events: Mutex<Vec<(Nanos, Event)>>,
}

impl Log {
    fn start() -> Log {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Log { began: Instant::now(), unix_ms: unix.as_millis() as i64, events: Mutex::default() }
    }

    fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    fn note(&self, event: Event) -> Nanos {
        let mut events = locked(&self.events);
        let at = self.now();
        events.push((at, event));
        at
    }
}

/// A machine that is taken out for work, step by step.
struct Patch {
    store: usize,
    off_for: Nanos,
    drain: Nanos,
    step: Step,
}

#[derive(Clone, Copy, PartialEq)]
enum Step {
    /// Asked of the front nodes, which have not let it go yet; looked at again then.
    Waits(Nanos),
    Drains(Nanos),
    Off(Nanos),
}

/// How far a rehearsal is: time gone by, and in all.
pub type Progress<'a> = &'a mut dyn FnMut(Nanos, Nanos);

const LOOK: Duration = Duration::from_millis(4);
const PATCH_LOOK: Nanos = 40 * MS;
/// After the last client has asked, patches under way are waited for no longer than this.
const PATCHES_MOST: Nanos = 20 * SECOND;

struct Show<'a> {
    scenario: &'a Scenario,
    log: Arc<Log>,
    stores: Vec<Arc<StandStore>>,
    /// How often each place was given to another store.
    generations: Vec<u32>,
    troubles: Vec<Troubles>,
    roster: Roster,
    agent: Agent,
    fronts: Fronts,
    patches: Vec<Patch>,
}

/// Plays a scenario. `program` and `args` start a front node, the path of its configuration after them; `dir` holds what the
/// nodes need. `stop` ends it early.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    (program, args): (&Path, &[&str]),
    dir: &Path,
    stop: &AtomicBool,
    progress: Progress,
) -> Result<Report, String> {
    let mut timeline = Timeline::new(scenario, seed)?;
    let acts = timeline.acts().to_vec();
    let wants = arrivals(scenario, seed);
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let log = Arc::new(Log::start());
    let count = scenario.stores.count();
    let mut stores = Vec::new();
    for n in 0..count {
        let store = StandStore::start(store_name(n), scenario, seed.wrapping_add(n as u64), log.clone());
        stores.push(store.map_err(|e| format!("store {n}: {e}"))?);
    }
    let listed = |n| (store_name(n), Listed { store: n, phase: Phase::Up, started: None });
    let roster = Roster::new((0..count).map(listed));
    let named = members(scenario, &stores, &roster, &log);
    let any = "127.0.0.1:0".parse().map_err(|_| "loopback has no address".to_owned())?;
    let agent = Agent::start(any, named.clone()).map_err(|e| format!("discovery: {e}"))?;
    let stage = Stage { scenario, seed, program, args, dir, discovery: agent.address, members: named };
    let fronts = Fronts::start(&stage)?;
    let troubles = vec![Troubles::default(); count];
    let generations = vec![0; count];
    let mut show = Show {
        scenario,
        log: log.clone(),
        stores,
        generations,
        troubles,
        roster,
        agent,
        fronts,
        patches: Vec::new(),
    };
    show.fronts.ready(stop)?;
    // What follows is timed from here on.
    let begins = log.now();
    let callers = Callers::start(scenario, log.clone(), show.fronts.addresses(), wants, begins);
    let lasts = scenario.lasts();
    let end = begins + lasts + scenario.longest() + 200 * MS;
    let mut broken_off = None;
    loop {
        let now = log.now();
        if stop.load(Relaxed) {
            broken_off = Some("it was stopped".to_owned());
            break;
        }
        if now >= end && (show.patches.is_empty() || now >= end + PATCHES_MOST) {
            break;
        }
        while let Some(act) = timeline.due(now - begins) {
            show.act(act, begins)?;
        }
        show.patched(now);
        show.tell();
        callers.fronts_at(show.fronts.addresses());
        progress((now - begins).clamp(0, lasts), lasts);
        std::thread::sleep(LOOK);
    }
    let tally = callers.end();
    let crashed = show.fronts.crashed();
    show.fronts.end();
    show.stores.iter().for_each(|s| s.end());
    let events = std::mem::take(&mut *locked(&log.events));
    let mut auditors = Auditors::new(scenario);
    let launches = events.iter().filter(|(_, e)| matches!(e, Event::Launched { .. })).count() as u64;
    events.iter().for_each(|(at, event)| auditors.hear(*at, event));
    let heard = auditors.heard();
    let mut breaches = auditors.end(log.now());
    breaches.iter_mut().for_each(|b| b.at_ms -= begins / MS);
    let told = Told { seed, launches, events: heard, crashed, breaches, broken_off };
    Ok(report(scenario, &acts, &tally, told))
}

fn members(scenario: &Scenario, stores: &[Arc<StandStore>], roster: &Roster, log: &Log) -> Value {
    let member = |(name, l): (&String, &Listed)| {
        let phase = if l.phase == Phase::Up { "up" } else { "draining" };
        json!({"id": name, "host_port": stores[l.store].address.to_string(), "locality": scenario.stores.zone(l.store),
               "flavor": "stand-in", "cell": scenario.stores.cell(l.store), "phase": phase, "size": 1.0,
               "up_since_ms": l.started.map_or(0, |at| log.unix_ms + at / MS)})
    };
    roster.told().iter().map(member).collect()
}

impl Show<'_> {
    fn name(&self, store: usize) -> String {
        match self.generations[store] {
            0 => store_name(store),
            generation => format!("{}-{generation}", store_name(store)),
        }
    }

    fn changed(&mut self, store: usize, notice: Nanos, phase: Phase, started: Option<Nanos>) {
        let (now, name) = (self.log.now(), self.name(store));
        self.roster.changed(now, notice, name, Listed { store, phase, started });
    }

    fn notice(&self) -> Nanos {
        ms(self.scenario.stores.notice_ms)
    }

    /// Its process ends.
    fn dies(&mut self, store: usize) {
        self.stores[store].off(true);
        if !self.roster.lies {
            self.changed(store, self.notice(), Phase::Gone, None);
        }
    }

    /// It starts, cold.
    fn starts(&mut self, store: usize) {
        let name = self.name(store);
        self.roster.forget(&name);
        let now = self.stores[store].on(name);
        self.changed(store, 0, Phase::Up, Some(now));
    }

    fn act(&mut self, act: Act, begins: Nanos) -> Result<(), String> {
        let Some(store) = act.store else { return self.act_on_fronts(act) };
        let before = self.troubles[store].condition();
        self.troubles[store].hear(&act);
        let after = self.troubles[store].condition();
        self.stores[store].condition(after);
        match act.kind {
            Kind::Die if after.down && !before.down => self.dies(store),
            Kind::Die if before.down && !after.down => self.starts(store),
            Kind::Drain if after.draining != before.draining => {
                let phase = if after.draining { Phase::Draining } else { Phase::Up };
                self.changed(store, 0, phase, None);
            }
            Kind::Replace if act.begins => {
                // Its predecessor is gone for good; another one takes its place and its port, under a new name.
                self.changed(store, 0, Phase::Gone, None);
                self.stores[store].off(true);
                self.generations[store] += 1;
                self.starts(store);
            }
            Kind::Patch { drain_ms } if act.begins => {
                let of = &self.scenario.troubles[act.trouble];
                let off_for = Trouble::until(of, Nanos::MAX / 2) - of.at();
                let now = begins + act.at;
                let machine = self.name(store);
                let agreed = self.scenario.order.is_some() && self.fronts.ask_out(&machine, off_for);
                let step = if agreed {
                    Step::Waits(now)
                } else {
                    self.changed(store, 0, Phase::Draining, None);
                    Step::Drains(now + ms(drain_ms))
                };
                self.patches.push(Patch { store, off_for, drain: ms(drain_ms), step });
            }
            _ => {}
        }
        Ok(())
    }

    fn act_on_fronts(&mut self, act: Act) -> Result<(), String> {
        match act.kind {
            Kind::RosterLag { by_ms } => self.roster.lag(if act.begins { ms(by_ms) } else { 0 }),
            Kind::RosterSilent => {
                self.roster.silent = act.begins;
                self.log.note(Event::DiscoverySilent(act.begins));
                self.agent.mood(if act.begins { Mood::Silent } else { Mood::Up });
            }
            Kind::RosterLies => self.roster.lies = act.begins,
            Kind::FrontKilled { front } if act.begins => {
                self.fronts.kill(front);
                self.log.note(Event::FrontKilled { front });
            }
            Kind::FrontKilled { front } => {
                self.fronts.restart(front)?;
                self.log.note(Event::FrontStarted { front });
            }
            Kind::FrontReload { front } if act.begins => self.fronts.reload(front),
            Kind::FrontsCut { first } => self.fronts.cut(act.begins.then_some(first)),
            _ => {}
        }
        Ok(())
    }

    /// Machines out for work go their next steps.
    fn patched(&mut self, now: Nanos) {
        for place in 0..self.patches.len() {
            let Patch { store, off_for, drain, step } = self.patches[place];
            let next = match step {
                Step::Waits(look) if now >= look => {
                    if self.fronts.is_out(&self.name(store)) {
                        // The front nodes send it nothing new by now; discovery is told as by any crew.
                        self.changed(store, 0, Phase::Draining, None);
                        Step::Drains(now)
                    } else {
                        Step::Waits(now + PATCH_LOOK)
                    }
                }
                Step::Drains(until) if now >= until => {
                    self.stores[store].off(true);
                    Step::Off(now + off_for)
                }
                Step::Off(until) if now >= until => {
                    self.starts(store);
                    Step::Off(Nanos::MAX)
                }
                other => other,
            };
            self.patches[place] = Patch { store, off_for, drain, step: next };
        }
        self.patches.retain(|p| p.step != Step::Off(Nanos::MAX));
    }

    /// Discovery tells what has changed.
    fn tell(&mut self) {
        let before = self.roster.told().clone();
        let Some(after) = self.roster.round(self.log.now()).cloned() else { return };
        for (name, listed) in &after {
            if before.get(name) != Some(listed) {
                let closed = listed.phase != Phase::Up;
                let event = Event::Told { store: name.clone(), closed, started: listed.started };
                self.log.note(event);
            }
        }
        for name in before.keys().filter(|name| !after.contains_key(*name)) {
            self.log.note(Event::Told { store: name.clone(), closed: true, started: None });
        }
        self.agent.tell(members(self.scenario, &self.stores, &self.roster, &self.log));
    }
}
