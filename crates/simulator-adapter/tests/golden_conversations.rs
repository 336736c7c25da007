//! Conversations between a simulated peer and the adapter in one process, whose replies are compared with recorded
//! ones. The events depend on the replies. Object keys are hashed in alphabetical order, since `serde_json` preserves
//! the order of insertion only if a package in the build enables that. The texts of fault reports are not compared.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufReader, Read, Write};
use std::path::Path;
use std::rc::Rc;

use orchidvalve_golden::{Trace, check_hashes};
use serde_json::{Value, json};

const MS: i64 = 1_000_000;
const SEEDS: u64 = 24;
const LINES: usize = 130;

/// Random numbers by SplitMix64 (Steele, Lea and Flood 2014).
struct Numbers(u64);

impl Numbers {
    fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn below(&mut self, end: u64) -> u64 {
        self.draw() % end
    }

    fn happens(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

struct Simulator {
    numbers: Numbers,
    now: i64,
    lines: usize,
    lists: i64,
    queries: u64,
    classes: u64,
    two_steps: bool,
    instances: BTreeSet<i64>,
    /// Events to send, by time and number.
    due: BTreeMap<(i64, u64), Value>,
    count: u64,
    attempts: BTreeMap<(i64, String), i64>,
    replies: Trace,
    verbs: BTreeSet<String>,
}

impl Simulator {
    fn new(seed: u64) -> Simulator {
        Simulator {
            numbers: Numbers(seed),
            now: 1_000_000 * MS,
            lines: 0,
            lists: 0,
            queries: 0,
            classes: 2 + seed % 2,
            two_steps: seed.is_multiple_of(4),
            instances: BTreeSet::new(),
            due: BTreeMap::new(),
            count: 0,
            attempts: BTreeMap::new(),
            replies: Trace::new(),
            verbs: BTreeSet::new(),
        }
    }

    fn schedule(&mut self, delay: i64, events: Value) {
        self.count += 1;
        self.due.insert((self.now + delay, self.count), events);
    }

    fn settings(&mut self) -> Value {
        let effect = |n: u64| match n % 3 {
            0 => json!({"effect": "pure"}),
            1 => json!({"effect": "token", "windowNs": 300 * MS}),
            _ => json!({"effect": "side_effect"}),
        };
        let classes: Vec<Value> = (0..self.classes)
            .map(|n| {
                let mut class = effect(n);
                class["objectiveNs"] = json!(200 * MS);
                class["deadlineNs"] = json!(600 * MS);
                class["lateWorth"] = json!(0.3);
                class["aimStretch"] = json!(0.5);
                class
            })
            .collect();
        let list = |first: f64, other: f64| -> Vec<f64> {
            (0..self.classes).map(|n| if n == 0 { first } else { other }).collect()
        };
        let mut extra = json!({"positions": 4, "reach": 2, "slices": 4, "bundleMax": 2, "classFloor": list(0.5, 1.0),
            "wholeAt": list(0.9, 1.0), "shortWorth": list(0.6, 0.0)});
        if self.two_steps {
            extra["classFetch"] = json!(list(1.0, 0.0));
        }
        let reported = if self.numbers.happens(50) { json!(["waiting", "rps"]) } else { json!([]) };
        json!({
            "balancers": 1 + self.numbers.below(4),
            "classes": classes,
            "projects": [{"allowancePerS": 20.0}, {}],
            "extra": extra,
            "discovery": if self.numbers.happens(30) { "on_request" } else { "pushed" },
            "feedback": {"names": reported},
            "limits": {"attemptsCap": 2 + self.numbers.below(3), "cancel": self.numbers.happens(80),
                "secondCopies": self.numbers.happens(80), "probes": self.numbers.happens(80), "retryAfter": true,
                "maxRetryAfterNs": 100 * MS},
            "rules": {"coldShare": 0.25, "coldNs": 1_000 * MS, "fallMultiple": 4.0, "fallNs": 200 * MS,
                "askWithinNs": 1_000 * MS, "budgetFree": 5.0, "repeatRatio": 0.3, "ratioSpanNs": 500 * MS},
            "resolutionNs": MS,
        })
    }

    fn census(&mut self) -> Value {
        self.lists += 1;
        let now = self.now;
        let hosts: Vec<Value> = (0..8)
            .filter_map(|n| {
                let (absent, drains) = (self.numbers.happens(5), self.numbers.happens(10));
                let readiness = if drains { "DRAINING" } else { "SERVING" };
                let mut host =
                    json!({"server": format!("s{n}:80"), "position": n % 4, "readiness": readiness});
                if self.numbers.happens(20) {
                    host["launchedNs"] = json!(now);
                }
                (!absent).then_some(host)
            })
            .collect();
        json!({"verb": "census", "ref": self.lists, "hosts": hosts})
    }

    /// Returns the next line of events, or `None` at the end.
    fn line(&mut self) -> Option<String> {
        if self.lines == LINES {
            return None;
        }
        self.lines += 1;
        self.now += MS * (1 + self.numbers.below(8) as i64);
        let mut events = Vec::new();
        if self.lines == 1 || self.numbers.happens(3) {
            events.push(self.census());
        }
        for who in 0..3 {
            if !self.instances.contains(&who) && (self.lines < 3 || self.numbers.happens(20)) {
                let conf = self.settings();
                let nonce = self.numbers.draw();
                events.push(json!({"verb": "boot", "who": who, "nonce64": nonce, "conf": conf}));
                events.push(json!({"verb": "topology", "who": who, "form": "total", "ref": self.lists}));
                self.instances.insert(who);
            }
        }
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= self.now) {
            events.push(entry.remove());
        }
        let instances: Vec<i64> = self.instances.iter().copied().collect();
        for who in instances {
            self.instance_events(who, &mut events);
        }
        Some(json!({"timeNs": self.now, "news": events}).to_string())
    }

    fn instance_events(&mut self, who: i64, events: &mut Vec<Value>) {
        if self.numbers.happens(4) {
            let form = ["incr", "total", "warm_copy", "lost"][self.numbers.below(4) as usize];
            events.push(json!({"verb": "topology", "who": who, "form": form, "ref": self.lists}));
        }
        if self.numbers.happens(1) && self.lines > 20 {
            let last = match self.numbers.below(3) {
                0 => json!({"verb": "detach", "who": who}),
                1 => json!({"verb": "sing", "who": who}),
                _ => json!({"verb": "finished", "who": who, "xid": "x", "status": "bored"}),
            };
            events.push(last);
            self.instances.remove(&who);
            return;
        }
        if self.numbers.happens(45) {
            self.queries += 1;
            let (query, grade) = (self.queries, self.numbers.below(self.classes));
            let until = self.now + MS * (50 + self.numbers.below(550) as i64);
            let mut knock = json!({"verb": "knock", "who": who, "xid": format!("q{query}"), "grade": grade,
                "validUntilNs": until, "query": query, "slice": -1, "clientGroup": self.numbers.below(2)});
            if self.numbers.happens(20) {
                knock["isRetry"] = json!(true);
            }
            if self.numbers.happens(30) {
                knock["weightHintNs"] = json!(self.numbers.below(100) as i64 * MS);
            }
            events.push(knock);
            let requests = 1 + self.numbers.below(4);
            for slice in 0..requests {
                events.push(
                    json!({"verb": "knock", "who": who, "xid": format!("q{query}.{slice}"), "query": query,
                    "slice": slice, "measure": 1.0 / requests as f64}),
                );
            }
            if self.numbers.happens(5) {
                self.schedule(100 * MS, json!({"verb": "lapsed", "who": who, "xid": format!("q{query}")}));
            }
        }
        if self.numbers.happens(3) {
            events.push(json!({"verb": "peerData", "who": who}));
        }
    }

    fn receive_reply(&mut self, line: &[u8]) {
        let mut reply: Value = serde_json::from_slice(line).expect("a reply is an object");
        for action in reply["output"].as_array_mut().expect("a reply has its output") {
            self.execute(action);
            if action["verb"] == "panic" {
                let reported = action["bodyText"].as_str().is_some_and(|text| !text.is_empty());
                action["bodyText"] = json!(reported);
            }
        }
        hash(&reply, &mut self.replies);
    }

    fn execute(&mut self, action: &Value) {
        let (verb, who) =
            (action["verb"].as_str().expect("a verb"), action["who"].as_i64().expect("an instance"));
        self.verbs.insert(verb.to_owned());
        match verb {
            "submitTo" => {
                let xid = action["xid"].as_str().expect("a part").to_owned();
                let attempt = self.attempts.entry((who, xid.clone())).or_insert(-1);
                *attempt += 1;
                let attempt = *attempt;
                let server = action["server"].as_str().expect("a server").as_bytes()[1] - b'0';
                let limit = action["limitNs"].as_i64().expect("a limit");
                let work = MS * (3 + self.numbers.below(25) as i64) * if server == 7 { 8 } else { 1 };
                let (status, lag) = match self.numbers.below(100) {
                    0..3 => ("turned_away", MS),
                    3..6 => ("no_connection", 2 * MS),
                    6..9 => ("server_error", 2 * MS),
                    9..12 => ("connection_lost", 3 * MS),
                    12..14 => ("not_sent", MS),
                    14..20 => ("no_answer", limit),
                    _ if work > limit => ("no_answer", limit),
                    _ => ("served", work),
                };
                let over = status != "served" && self.numbers.happens(5);
                let mut events = json!({"verb": "finished", "who": who, "xid": xid, "status": status, "copy": attempt, "lagNs": lag});
                if over {
                    events["finished"] = json!(true);
                }
                self.schedule(lag, events);
            }
            "retract" => {
                let events = json!({"verb": "finished", "who": who, "xid": action["xid"], "status": "called_off",
                    "copy": action["copy"], "lagNs": 5 * MS});
                self.schedule(MS, events);
            }
            "settleQuery" if self.two_steps => {
                let xid = action["xid"].as_str().expect("a query").to_owned();
                let query: u64 = xid[1..].parse().expect("its number");
                let name = format!("{xid}.further");
                self.schedule(MS, json!({"verb": "knock", "who": who, "xid": name, "query": query, "slice": 0, "measure": 1.0}));
            }
            "probe" => {
                let status = if self.numbers.happens(80) { "served" } else { "no_answer" };
                let pressure =
                    json!({"waiting": self.numbers.below(30), "rps": 40.0 + self.numbers.below(60) as f64});
                let events = json!({"verb": "statusBack", "who": who, "server": action["server"], "status": status,
                    "pressure": pressure});
                self.schedule(2 * MS, events);
            }
            "arm" => {
                let moment = action["momentNs"].as_i64().expect("a moment");
                let events = json!({"verb": "ring", "who": who, "nonce": action["nonce"]});
                self.schedule(moment - self.now, events);
            }
            "subscribe" => {
                let form = if self.numbers.happens(50) { "total" } else { "lost" };
                self.schedule(
                    20 * MS,
                    json!({"verb": "topology", "who": who, "form": form, "ref": self.lists}),
                );
            }
            "panic" => {
                self.instances.remove(&who);
            }
            _ => {}
        }
    }
}

/// Hashes a value with the keys of its objects in alphabetical order.
fn hash(value: &Value, trace: &mut Trace) {
    match value {
        Value::Object(fields) => {
            let fields: BTreeMap<&String, &Value> = fields.iter().collect();
            trace.add_number(fields.len() as u64);
            for (name, value) in fields {
                trace.add(name.as_bytes());
                hash(value, trace);
            }
        }
        Value::Array(items) => {
            trace.add_number(items.len() as u64);
            items.iter().for_each(|item| hash(item, trace));
        }
        other => trace.add(other.to_string().as_bytes()),
    }
}

/// Standard input of the adapter.
struct SimulatorInput(Rc<RefCell<Simulator>>);

impl Read for SimulatorInput {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Some(line) = self.0.borrow_mut().line() else { return Ok(0) };
        assert!(line.len() < buffer.len(), "a line fits the buffer, so that none is read ahead");
        buffer[..line.len()].copy_from_slice(line.as_bytes());
        buffer[line.len()] = b'\n';
        Ok(line.len() + 1)
    }
}

/// Standard output of the adapter.
struct SimulatorOutput(Rc<RefCell<Simulator>>, Vec<u8>);

impl Write for SimulatorOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.1.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        assert_eq!(self.1.iter().filter(|byte| **byte == b'\n').count(), 1, "one line is one reply");
        self.0.borrow_mut().receive_reply(&std::mem::take(&mut self.1));
        Ok(())
    }
}

fn conversation(seed: u64) -> (u64, BTreeSet<String>) {
    let simulator = Rc::new(RefCell::new(Simulator::new(seed)));
    let input = BufReader::with_capacity(1 << 20, SimulatorInput(simulator.clone()));
    orchidvalve_simulator_adapter::serve(input, SimulatorOutput(simulator.clone(), Vec::new()))
        .expect("the conversation ends in order");
    let simulator = simulator.borrow();
    (simulator.replies.finish(), simulator.verbs.clone())
}

#[test]
fn replies_of_every_conversation_match_the_recorded_ones() {
    let runs: Vec<(String, (u64, BTreeSet<String>))> =
        (0..SEEDS).map(|seed| (format!("conversation-{seed}"), conversation(seed))).collect();
    let verbs: BTreeSet<&str> = runs.iter().flat_map(|(_, run)| run.1.iter().map(String::as_str)).collect();
    let all = [
        "arm",
        "panic",
        "probe",
        "respondError",
        "retract",
        "settleQuery",
        "submitTo",
        "subscribe",
        "turnAway",
    ];
    assert_eq!(verbs, BTreeSet::from(all), "every verb occurs in some run");
    let hashes: Vec<(String, u64)> = runs.into_iter().map(|(name, run)| (name, run.0)).collect();
    check_hashes(&Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/conversations.txt"), &hashes);
}
