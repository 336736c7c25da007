//! The cost of the store, measured on one disk in one run: durable and buffered appends compared with bare writes of
//! the same bytes, recovery, memory, write amplification. `cargo bench -p orchidvalve-log-store -- DIR [MOST]
//! [only=durable] [slower=US]`: DIR is a directory on the disk to measure, MOST the largest number of records recovered
//! (10,000,000). `only` measures durable appends alone. `slower` delays every sync, of the store and of the bare file
//! alike, by this many microseconds, to simulate a slower disk. Tables go to standard output, charts to DIR/*.svg.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use orchidvalve_log_store::background_writer::{BackgroundWriter, Durability, WriterOptions};
use orchidvalve_log_store::disk::real::RealDisk;
use orchidvalve_log_store::disk::{Disk, DiskFile};
use orchidvalve_log_store::{Batch, CompactionStep, LogStore, LogStoreOptions};
use plotters::prelude::*;

const VALUE: [u8; 100] = [7; 100];
const TURN: Duration = Duration::from_secs(2);
const TURNS: usize = 3;

fn fresh(dir: &Path, name: &str) -> PathBuf {
    let path = dir.join(name);
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn open(path: &Path, checkpoints: bool) -> (LogStore, orchidvalve_log_store::RecoveryReport) {
    open_slow(path, checkpoints, Duration::ZERO)
}

fn open_slow(
    path: &Path,
    checkpoints: bool,
    slower: Duration,
) -> (LogStore, orchidvalve_log_store::RecoveryReport) {
    let options = LogStoreOptions { checkpoints, ..LogStoreOptions::named("bench") };
    let disk = SlowDisk { disk: RealDisk::open_or_create(path).unwrap(), slower };
    LogStore::open(Arc::new(disk), options).unwrap()
}

/// A disk whose syncs take longer, to simulate a slower disk for both the store and the bare file.
struct SlowDisk {
    disk: RealDisk,
    slower: Duration,
}

struct SlowFile {
    file: Arc<dyn DiskFile>,
    slower: Duration,
}

impl SlowDisk {
    fn wrap(&self, file: Arc<dyn DiskFile>) -> Arc<dyn DiskFile> {
        if self.slower.is_zero() { file } else { Arc::new(SlowFile { file, slower: self.slower }) }
    }
}

impl DiskFile for SlowFile {
    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.file.write_at(at, bytes)
    }
    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<usize> {
        self.file.read_at(at, into)
    }
    fn length(&self) -> io::Result<u64> {
        self.file.length()
    }
    fn truncate(&self, length: u64) -> io::Result<()> {
        self.file.truncate(length)
    }
    fn sync(&self) -> io::Result<()> {
        self.file.sync()?;
        std::thread::sleep(self.slower);
        Ok(())
    }
}

impl Disk for SlowDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        self.disk.list()
    }
    fn create(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        self.disk.create(name).map(|file| self.wrap(file))
    }
    fn open(&self, name: &str) -> io::Result<Arc<dyn DiskFile>> {
        self.disk.open(name).map(|file| self.wrap(file))
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.disk.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }
    fn sync_names(&self) -> io::Result<()> {
        self.disk.sync_names()
    }
    fn lock(&self) -> io::Result<Box<dyn Send + Sync>> {
        self.disk.lock()
    }
    fn free(&self) -> io::Result<u64> {
        self.disk.free()
    }
}

fn record(n: u64) -> Batch {
    Batch::new().put(1, &n.to_le_bytes(), &VALUE)
}

fn create_bare_file(dir: &Path) -> File {
    let mut how = OpenOptions::new();
    how.write(true).create(true).truncate(true).open(fresh(dir, "bare").join("bytes")).unwrap()
}

/// Returns an upper bound of the records per second of this many writers: all their bytes in one write and one sync.
fn bare_durable(dir: &Path, writers: usize, slower: Duration) -> f64 {
    use std::io::Write;
    let (mut file, bytes) = (create_bare_file(dir), vec![7u8; record(0).size() as usize * writers]);
    let (began, mut done) = (Instant::now(), 0);
    while began.elapsed() < TURN {
        file.write_all(&bytes).unwrap();
        file.sync_data().unwrap();
        if !slower.is_zero() {
            std::thread::sleep(slower);
        }
        done += writers;
    }
    done as f64 / began.elapsed().as_secs_f64()
}

fn durable(dir: &Path, writers: usize, slower: Duration) -> (f64, Histogram<u64>) {
    let (store, _) = open_slow(&fresh(dir, "durable"), true, slower);
    let background = BackgroundWriter::start(store, WriterOptions::default()).unwrap();
    let began = Instant::now();
    let latencies_us: Vec<Vec<u64>> = std::thread::scope(|scope| {
        let write = |writer: usize| {
            let handle = background.handle();
            move || {
                let (mut latencies_us, mut n) = (Vec::new(), (writer as u64) << 32);
                while began.elapsed() < TURN {
                    let started = Instant::now();
                    let pending = handle.append(record(n), Durability::Synced).unwrap();
                    pending.unwrap().wait().unwrap();
                    latencies_us.push(started.elapsed().as_micros() as u64);
                    n += 1;
                }
                latencies_us
            }
        };
        let writers: Vec<_> = (0..writers).map(|writer| scope.spawn(write(writer))).collect();
        writers.into_iter().map(|w| w.join().unwrap()).collect()
    });
    let seconds = began.elapsed().as_secs_f64();
    if std::env::var_os("LOGBOOK_BENCH_SYNCS").is_some() {
        let counts = background.counters();
        let (syncs, batches) = (counts.syncs.load(Relaxed), counts.batches.load(Relaxed));
        eprintln!("{writers} writers: {batches} batches in {syncs} syncs");
    }
    let mut latencies = Histogram::new(3).unwrap();
    latencies_us.iter().flatten().for_each(|&micros| latencies.record(micros).unwrap());
    (latencies.len() as f64 / seconds, latencies)
}

fn bare_buffered(dir: &Path) -> f64 {
    use std::io::Write;
    let (mut file, bytes) = (create_bare_file(dir), vec![7u8; record(0).size() as usize]);
    let (began, mut done) = (Instant::now(), 0u64);
    while began.elapsed() < TURN {
        for _ in 0..64 {
            file.write_all(&bytes).unwrap();
        }
        done += 64;
    }
    file.sync_data().unwrap();
    done as f64 / began.elapsed().as_secs_f64()
}

fn deferred(dir: &Path) -> f64 {
    let (store, _) = open(&fresh(dir, "soon"), true);
    let writer = BackgroundWriter::start(store, WriterOptions::default()).unwrap();
    let handle = writer.handle();
    let (began, mut done) = (Instant::now(), 0u64);
    while began.elapsed() < TURN {
        for n in 0..64 {
            handle.append(record(done + n), Durability::Deferred).unwrap();
        }
        done += 64;
    }
    drop(writer.stop());
    done as f64 / began.elapsed().as_secs_f64()
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() << 10
}

struct Recovered {
    records: u64,
    live: u64,
    by_checkpoint: f64,
    in_full: f64,
    bytes: u64,
    a_key: f64,
}

/// `dead`: how many of every ten records are superseded by a later one.
fn recovery(dir: &Path, records: u64, dead: u64) -> Recovered {
    let path = fresh(dir, "recovery");
    let (mut store, _) = open(&path, true);
    let live = records * (10 - dead) / 10;
    let mut n = 0;
    while n < records {
        let mut batch = Batch::new();
        for _ in 0..500.min(records - n) {
            batch = batch.put(1, &(n % live).to_be_bytes(), &VALUE);
            n += 1;
        }
        store.append(&batch).unwrap();
    }
    store.sync().unwrap();
    let bytes = store.size_bytes();
    drop(store);
    // Runs in its own process, whose memory is not affected by earlier measurements.
    let timed = |checkpoints: bool| {
        let mut child = std::process::Command::new(std::env::current_exe().unwrap());
        let argument = child.arg("recover").arg(&path).arg(checkpoints.to_string()).output().unwrap();
        let argument = String::from_utf8(argument.stdout).unwrap();
        let words: Vec<f64> = argument.split_whitespace().map(|w| w.parse().unwrap()).collect();
        assert_eq!(words[2] as u64, live);
        (words[0], words[1] / live as f64)
    };
    let (by_checkpoint, a_key) = timed(true);
    let (in_full, _) = timed(false);
    let _ = std::fs::remove_dir_all(&path);
    Recovered { records, live, by_checkpoint, in_full, bytes, a_key }
}

/// Returns the bytes written per byte appended, and the maximum size of the store, with keys overwritten evenly.
fn amplification(dir: &Path, keys: u64) -> (f64, f64) {
    let (mut store, _) = open(&fresh(dir, "amplification"), true);
    let (mut appended, mut written, mut most, mut mixed) = (0u64, 0u64, 0u64, 1u64);
    for n in 0..600_000u64 {
        mixed = mixed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let batch = record((mixed >> 33) % keys);
        appended += batch.size();
        store.append(&batch).unwrap();
        if n % 1000 == 0 {
            loop {
                match store.compact_step_unthrottled().unwrap() {
                    CompactionStep::Merged { bytes_after, .. } => written += bytes_after,
                    CompactionStep::Progressed(_) => {}
                    _ => break,
                }
            }
            most = most.max(store.size_bytes());
        }
    }
    let live = keys * record(0).size();
    ((appended + written) as f64 / appended as f64, most as f64 / live as f64)
}

fn median(mut of: Vec<f64>) -> f64 {
    of.sort_by(f64::total_cmp);
    of[of.len() / 2]
}

fn chart(path: &Path, title: &str, x: &str, y: &str, lines: &[(&str, Vec<(f64, f64)>)]) {
    let points = || lines.iter().flat_map(|(_, points)| points.iter().copied());
    let (low, high) = points().fold((f64::MAX, 0f64), |(low, high), (x, _)| (low.min(x), high.max(x)));
    let (least, most) = points().fold((f64::MAX, 0f64), |(least, most), (_, y)| (least.min(y), most.max(y)));
    let root = SVGBackend::new(path, (720, 420)).into_drawing_area();
    root.fill(&WHITE).unwrap();
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d((low..high * 1.1).log_scale(), (least * 0.8..most * 1.3).log_scale())
        .unwrap();
    chart.configure_mesh().x_desc(x).y_desc(y).draw().unwrap();
    for (n, (name, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(n).to_rgba();
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2)).point_size(3);
        let drawn = chart.draw_series(line).unwrap();
        drawn.label(*name).legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw().unwrap();
    root.present().unwrap();
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).filter(|a| !a.starts_with("--")).collect();
    if let [first, path, checkpoints] = &words[..]
        && first == "recover"
    {
        let (before, began) = (resident_bytes(), Instant::now());
        let (store, found) = open(Path::new(path), checkpoints == "true");
        let seconds = began.elapsed().as_secs_f64();
        println!("{seconds} {} {}", resident_bytes().saturating_sub(before), found.keys);
        drop(store);
        return;
    }
    let argument = |key: &str| words.iter().find_map(|w| w.strip_prefix(key)?.strip_prefix('='));
    let slower = Duration::from_micros(argument("slower").map_or(0, |us| us.parse().expect("microseconds")));
    let words: Vec<&String> = words.iter().filter(|w| !w.contains('=')).collect();
    let dir = PathBuf::from(words.first().expect("a directory on the disk to be measured"));
    let most = words.get(1).map_or(10_000_000, |m| m.parse().expect("a count of records"));
    std::fs::create_dir_all(&dir).unwrap();
    println!(
        "| writers | durable a second | bare write and sync | share | p50 ms | p99 ms |\n| --- | --- | --- | --- | --- | --- |"
    );
    let (mut ours, mut limit) = (Vec::new(), Vec::new());
    for writers in [1, 8, 64] {
        let (mut rates, mut bares, mut all) = (Vec::new(), Vec::new(), Histogram::<u64>::new(3).unwrap());
        for _ in 0..TURNS {
            bares.push(bare_durable(&dir, writers, slower));
            let (rate, latencies) = durable(&dir, writers, slower);
            rates.push(rate);
            all.add(latencies).unwrap();
        }
        let (rate, bare) = (median(rates), median(bares));
        let ms = |q| all.value_at_quantile(q) as f64 / 1e3;
        println!(
            "| {writers} | {rate:.0} | {bare:.0} | {:.2} | {:.2} | {:.2} |",
            rate / bare,
            ms(0.5),
            ms(0.99)
        );
        ours.push((writers as f64, rate));
        limit.push((writers as f64, bare));
    }
    let lines = [("durable, group commit", ours), ("bare write and sync of the same bytes", limit)];
    chart(&dir.join("durable.svg"), "Durable appends", "waiting writers", "records a second", &lines);
    if argument("only") == Some("durable") {
        return;
    }
    let (mut rates, mut bares) = (Vec::new(), Vec::new());
    for _ in 0..TURNS {
        bares.push(bare_buffered(&dir));
        rates.push(deferred(&dir));
    }
    let (rate, bare) = (median(rates), median(bares));
    println!("\nsoon: {rate:.0} a second, bare buffered writes {bare:.0}: {:.2}", rate / bare);
    println!(
        "\n| records | keys | MB | by checkpoints s | in full s | bytes of memory a key |\n| --- | --- | --- | --- | --- | --- |"
    );
    let (mut quick, mut full) = (Vec::new(), Vec::new());
    let mut records = 10_000;
    while records <= most {
        for dead in [0, 5] {
            let r = recovery(&dir, records, dead);
            println!(
                "| {} | {} | {} | {:.3} | {:.3} | {:.0} |",
                r.records,
                r.live,
                r.bytes >> 20,
                r.by_checkpoint,
                r.in_full,
                r.a_key
            );
            if dead == 0 {
                quick.push((records as f64, r.by_checkpoint));
                full.push((records as f64, r.in_full));
            }
        }
        records *= 10;
    }
    let lines = [("by checkpoints", quick), ("all read and checked", full)];
    chart(&dir.join("recovery.svg"), "Recovery, no record superseded", "records", "seconds", &lines);
    println!(
        "\n| keys | bytes written for each handed over | most bytes for each live |\n| --- | --- | --- |"
    );
    for keys in [10, 1_000, 100_000] {
        let (written, most) = amplification(&dir, keys);
        println!("| {keys} | {written:.2} | {most:.2} |");
    }
}
