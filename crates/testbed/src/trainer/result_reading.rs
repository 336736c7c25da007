//! Parsing of the responses to reads of batch jobs.

use serde_json::Value;

use crate::effects::{Effects, Outcome};
use crate::observation::{ItemResult, Observation};

/// A page of the results of a batch job.
pub(super) struct ResultPage {
    /// Number of items in the batch job.
    total: u64,
    /// Number of results up to the end of the page.
    pub next: u64,
    pub results: Vec<ItemResult>,
}

/// Records the observation of a read of `job` after position `after`. Returns the page if the read succeeded.
pub(super) fn observe_reading(
    job: &str,
    after: u64,
    outcome: &Outcome,
    out: &mut Effects,
) -> Option<ResultPage> {
    let job = job.to_owned();
    let Outcome::Response(response) = outcome else { return None };
    if matches!(response.status, 404 | 410) {
        out.observations.push(Observation::JobMissing { job, status: response.status });
        return None;
    }
    if response.status != 200 {
        return None;
    }
    let Some(page) = ResultPage::parse(&response.body) else {
        out.observations.push(Observation::MalformedResponseReceived { id: job });
        return None;
    };
    let (total, next, results) = (page.total, page.next, page.results.clone());
    out.observations.push(Observation::ResultsRead { job, total, after, next, results });
    Some(page)
}

impl ResultPage {
    /// Parses the body of a response; `None` if it does not have the expected form.
    fn parse(body: &[u8]) -> Option<ResultPage> {
        let value: Value = serde_json::from_slice(body).ok()?;
        let results =
            value["results"].as_array()?.iter().map(parse_result).collect::<Option<Vec<ItemResult>>>()?;
        Some(ResultPage { total: value["total"].as_u64()?, next: value["next-token"].as_u64()?, results })
    }
}

fn parse_result(value: &Value) -> Option<ItemResult> {
    let versions = value["weight-versions"].as_array();
    Some(ItemResult {
        item: value["instance-id"].as_str()?.to_owned(),
        state: value["state"].as_str()?.to_owned(),
        message: value["message"].as_str().unwrap_or_default().to_owned(),
        versions: versions.into_iter().flatten().filter_map(Value::as_u64).collect(),
        score: value["score"].as_str().map(str::to_owned),
    })
}
