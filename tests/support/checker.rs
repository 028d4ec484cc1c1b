//! History checker. It compares the programs' histories with what callers, the tool and the engines observed.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};

use super::{api_caller::CallerExchange, test_cluster::TestCluster};

/// Returns a description of every violated invariant. An empty list is a pass.
pub(crate) async fn find_violations(cluster: &TestCluster) -> Vec<String> {
    let exchanges: Vec<CallerExchange> =
        cluster.caller.exchanges.lock().expect("the lock should not be poisoned").clone();
    let mut violations = Vec::new();
    let programs: BTreeSet<String> =
        exchanges.iter().map(|exchange| exchange.program.clone()).collect();

    for program in programs {
        let program_exchanges: Vec<&CallerExchange> =
            exchanges.iter().filter(|exchange| exchange.program == program).collect();
        check_program(cluster, &program, &program_exchanges, &mut violations).await;
    }

    check_tool_runs(cluster, &exchanges, &mut violations);
    check_engine_prompts(cluster, &mut violations);
    violations
}

/// Checks that the history is numbered from 1 without gaps and holds every completed entry, and that the program stays
/// within its budget.
async fn check_program(
    cluster: &TestCluster,
    program: &str,
    exchanges: &[&CallerExchange],
    violations: &mut Vec<String>,
) {
    let host = cluster.hosts.first().expect("the cluster should have a host").callers;

    let Some(history) = cluster.caller.history(host, program).await else {
        violations.push(format!("{program}: no response to the request for its history"));
        return;
    };

    let entries = history.body["entries"].as_array().cloned().unwrap_or_default();

    for (index, entry) in entries.iter().enumerate() {
        if entry["number"] != json!(index + 1) {
            violations.push(format!("{program}: entry {index} has number {}", entry["number"]));
        }
    }

    for exchange in exchanges {
        let Some(response) = &exchange.response else {
            continue;
        };

        let entry = entries.get(exchange.number as usize - 1);
        check_exchange(
            program,
            exchange,
            response.outcome.as_str(),
            &response.body,
            entry,
            violations,
        );
    }

    let status = cluster.caller.status(host, program).await;
    let body = status.map_or(Value::Null, |status| status.body);

    if body["spent_tokens"].as_u64() > body["budget_tokens"].as_u64() {
        violations.push(format!("{program}: more tokens spent than its budget: {body}"));
    }
}

/// Checks that a completed turn or call is in the history, a turn with its messages and its answer.
fn check_exchange(
    program: &str,
    exchange: &CallerExchange,
    outcome: &str,
    body: &Value,
    entry: Option<&Value>,
    violations: &mut Vec<String>,
) {
    if outcome != "completed" || body["error"].is_object() {
        return;
    }

    let number = exchange.number;

    let Some(entry) = entry else {
        violations.push(format!("{program}: completed entry {number} is not in the history"));
        return;
    };

    if entry["kind"] != exchange.kind {
        violations.push(format!(
            "{program}: entry {number} has another kind than was sent: {}",
            entry["kind"]
        ));
    }

    if exchange.kind == "turn" {
        if entry["messages"] != exchange.request_body["messages"] {
            violations.push(format!("{program}: entry {number} has other messages than were sent"));
        }

        if entry["answer"] != body["choices"][0]["message"] {
            violations
                .push(format!("{program}: entry {number} has another answer than its caller got"));
        }
    }
}

/// Checks that no call ran more than once, and that none ran whose caller was last answered `not_run`.
fn check_tool_runs(
    cluster: &TestCluster,
    exchanges: &[CallerExchange],
    violations: &mut Vec<String>,
) {
    let mut run_counts: BTreeMap<String, usize> = BTreeMap::new();

    for run in cluster.tool.runs() {
        *run_counts.entry(run.key).or_default() += 1;
    }

    for (key, count) in run_counts.iter().filter(|(_, count)| **count > 1) {
        violations.push(format!("call {key} ran {count} times"));
    }

    for call in exchanges.iter().filter(|exchange| exchange.kind == "call") {
        let outcomes: Vec<&str> = exchanges
            .iter()
            .filter(|other| other.program == call.program && other.number == call.number)
            .filter_map(|other| other.response.as_ref())
            .map(|response| response.outcome.as_str())
            .collect();

        // Only the last outcome counts: after `not_run`, the caller may send the same number again, and it may run.
        let key = format!("{}-{}", call.program, call.number);

        if outcomes.last() == Some(&"not_run") && run_counts.contains_key(&key) {
            violations.push(format!("call {key} ran, and its last outcome was not_run"));
        }
    }
}

/// Checks that no engine got a prompt with another program's text. The tests' messages name their program, and the
/// cache key of a run is the program.
fn check_engine_prompts(cluster: &TestCluster, violations: &mut Vec<String>) {
    for run in cluster.engines.iter().flat_map(|engine| engine.runs()) {
        for message in &run.messages {
            let content = message["content"].as_str().unwrap_or_default();

            let is_foreign = content
                .split_whitespace()
                .any(|word| word.starts_with("p-") && word.len() > 20 && word != run.cache_key);

            if is_foreign {
                violations
                    .push(format!("{}: a prompt contains another program's text", run.cache_key));
            }
        }
    }
}
