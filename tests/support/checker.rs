//! History checker: reads what callers were told and what tools and engines received, and judges.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value, json};

use super::{api_caller::Told, test_cluster::TestCluster};

/// Tells every breach of what must always hold. An empty list is a pass.
pub(crate) async fn check(cluster: &TestCluster) -> Vec<String> {
    let told: Vec<Told> = cluster.caller.told.lock().expect("no panic").clone();
    let mut breaches = Vec::new();
    let programs: BTreeSet<String> = told.iter().map(|it| it.program.clone()).collect();

    for program in programs {
        let own: Vec<&Told> = told.iter().filter(|it| it.program == program).collect();
        check_program(cluster, &program, &own, &mut breaches).await;
    }

    check_tool(cluster, &told, &mut breaches);
    check_engines(cluster, &mut breaches);
    breaches
}

async fn check_program(
    cluster: &TestCluster,
    program: &str,
    told: &[&Told],
    breaches: &mut Vec<String>,
) {
    let host = cluster.hosts.first().expect("a host").callers;

    let Some(history) = cluster.caller.history(host, program).await else {
        breaches.push(format!("{program}: no history"));
        return;
    };

    let entries = history.body["entries"].as_array().cloned().unwrap_or_default();

    for (index, entry) in entries.iter().enumerate() {
        if entry["number"] != json!(index + 1) {
            breaches.push(format!("{program}: entry {index} has number {}", entry["number"]));
        }
    }

    for it in told {
        let Some(answer) = &it.answer else {
            continue;
        };

        let entry = entries.get(it.number as usize - 1);
        check_told(program, it, answer.outcome.as_str(), &answer.body, entry, breaches);
    }

    let status = cluster.caller.status(host, program).await;
    let body = status.map_or(Value::Null, |status| status.body);

    if body["spent_tokens"].as_u64() > body["budget_tokens"].as_u64() {
        breaches.push(format!("{program}: spent beyond its budget: {body}"));
    }
}

/// What a caller was told has to stand in the history.
fn check_told(
    program: &str,
    told: &Told,
    outcome: &str,
    body: &Value,
    entry: Option<&Value>,
    breaches: &mut Vec<String>,
) {
    if outcome != "completed" || body["error"].is_object() {
        return;
    }

    let number = told.number;

    let Some(entry) = entry else {
        breaches.push(format!("{program}: entry {number} was completed and is lost"));
        return;
    };

    if entry["kind"] != told.kind {
        breaches.push(format!("{program}: entry {number} is a {}", entry["kind"]));
    }

    if told.kind == "turn" {
        if entry["messages"] != told.sent["messages"] {
            breaches.push(format!("{program}: entry {number} has other messages"));
        }

        if entry["answer"] != body["choices"][0]["message"] {
            breaches.push(format!("{program}: entry {number} has another answer than was told"));
        }
    }
}

/// A call that may not be repeated reaches the tool at most once, and none that was told not to have run does.
fn check_tool(cluster: &TestCluster, told: &[Told], breaches: &mut Vec<String>) {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();

    for run in cluster.tool.runs() {
        *runs.entry(run.key).or_default() += 1;
    }

    for (key, count) in runs.iter().filter(|(_, count)| **count > 1) {
        breaches.push(format!("call {key} ran {count} times"));
    }

    for it in told.iter().filter(|it| it.kind == "call") {
        let outcomes: Vec<&str> = told
            .iter()
            .filter(|other| other.program == it.program && other.number == it.number)
            .filter_map(|other| other.answer.as_ref())
            .map(|answer| answer.outcome.as_str())
            .collect();

        // The last answer counts: a number that was told not to have run may be asked for again.
        let key = format!("{}-{}", it.program, it.number);

        if outcomes.last() == Some(&"not_run") && runs.contains_key(&key) {
            breaches.push(format!("call {key} ran and was told not to have"));
        }
    }
}

/// The prompt of every engine run is a history in order: no program's text in another's prompt.
fn check_engines(cluster: &TestCluster, breaches: &mut Vec<String>) {
    for run in cluster.engines.iter().flat_map(|engine| engine.runs()) {
        for message in &run.messages {
            let content = message["content"].as_str().unwrap_or_default();

            let is_foreign = content
                .split_whitespace()
                .any(|word| word.starts_with("p-") && word.len() > 20 && word != run.cache_key);

            if is_foreign {
                breaches.push(format!("{}: a prompt holds another program's text", run.cache_key));
            }
        }
    }
}
