//! Reading the numbered lists of index servers.

use orchidvalve_orders::Section;

/// One index server in a numbered list.
pub struct Entry {
    pub server: String,
    pub cell: usize,
    pub serving: bool,
    pub started: Option<i64>,
}

pub fn entries(census: &Section) -> Result<Vec<Entry>, String> {
    let hosts = census.list("hosts")?.ok_or_else(|| census.fault("hosts", "missing"))?;
    hosts.iter().map(entry).collect()
}

fn entry(host: &Section) -> Result<Entry, String> {
    Ok(Entry {
        server: host.text("server")?.to_owned(),
        cell: host.or("position", 0, Section::index)?,
        serving: host.text("readiness")? == "SERVING",
        started: Some(host.or("launchedNs", 0, Section::whole)?).filter(|&at| at != 0),
    })
}
