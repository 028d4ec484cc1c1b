//! The command line and the daemon's checks, as an operator meets them.

mod support;

use std::{path::PathBuf, process::Command};

use support::test_cluster::{OPERATOR_KEY, TestCluster};

/// One call of a binary, and what it must say.
struct Run {
    command: Command,
}

impl Run {
    fn cli(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortknot"));
        command.args(arguments);
        Self { command }
    }

    fn daemon(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortknotd"));
        command.args(arguments);
        Self { command }
    }

    fn expect(mut self, code: i32, text: &str) -> String {
        let output = self.command.output().expect("the binary starts");
        let said = [output.stdout, output.stderr].concat();
        let said = String::from_utf8_lossy(&said).into_owned();
        assert_eq!(output.status.code(), Some(code), "{said}");
        assert!(said.contains(text), "{said:?} does not say {text:?}");
        said
    }
}

#[test]
fn usage_each_case() {
    Run::cli(&[]).expect(2, "Usage: ragwortknot SUBCOMMAND");
    Run::cli(&["--help"]).expect(0, "audit");
    Run::cli(&["nothing"]).expect(2, "there is no subcommand nothing");
    Run::cli(&["bench"]).expect(2, "expected policy, overhead or slopes");
    Run::cli(&["config", "patch"]).expect(2, "--url");
    Run::cli(&["audit"]).expect(2, "expected log files");
    Run::cli(&["audit", "README.md"]).expect(1, "no decision in README.md");
    Run::cli(&["trace", "r1"]).expect(2, "expected an id and log files");
    Run::cli(&["trace", "r1", "README.md"]).expect(1, "no line of README.md names r1");
    Run::cli(&["bench", "policy", "--seed", "x"]).expect(2, "--seed is a whole number");
    Run::cli(&["check", "no/such.ini"]).expect(2, "no/such.ini: can't be read");
    Run::daemon(&[]).expect(2, "Required option 'config' missing");
    Run::daemon(&["--check", "-c", "no/such.ini"]).expect(2, "no/such.ini: can't be read");
}

#[test]
fn trace_follows_an_id_over_hosts_in_the_order_of_time() {
    let write = |name: &str, text: &str| {
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&file, text).expect("a file");
        file.to_string_lossy().into_owned()
    };
    let first = write(
        "trace-a.log",
        concat!(
            "{\"at_ms\":30,\"host\":\"a\",\"level\":\"INFO\",\"message\":\"answered\",\"request\":\"r7\",\"status\":200}\n",
            "{\"at_ms\":31,\"host\":\"a\",\"level\":\"INFO\",\"message\":\"answered\",\"request\":\"r8\"}\n",
            "r7 in a line that is no record\n",
        ),
    );
    let second = write(
        "trace-b.log",
        "   0.4 b {\"at_ms\":20,\"host\":\"b\",\"level\":\"WARN\",\"message\":\"refused\",\"request\":\"r7\"}\n",
    );

    let said = Run::cli(&["trace", "r7", &first, &second]).expect(0, "status=200");
    let lines: Vec<&str> = said.lines().collect();
    assert_eq!(
        lines,
        ["20 b WARN refused | request=r7", "30 a INFO answered | request=r7 status=200"]
    );
}

#[test]
fn local_demo_prints_history_and_decisions() {
    let said = Run::cli(&["local", "--demo"]).expect(0, "\nHistory:\n");
    assert!(said.contains("\nDecisions:\n"), "{said}");
    assert!(said.contains("\"warm_prefix\""), "{said}");
    assert!(said.contains("call 3, asked for again"), "{said}");
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_and_change_a_cluster() {
    let hosts = [("ub-1", "ub-a"), ("ub-2", "ub-a")];
    let mut cluster = TestCluster::start("command_line", &hosts).await;
    let program = cluster.caller.create_program(cluster.hosts[0].callers, 50_000).await;
    let body = support::api_caller::turn_body("hello");
    cluster.caller.send_turn(cluster.hosts[0].callers, &program, 1, &body).await;

    let owner = cluster.owner(&program).await;
    let owner_url = format!("http://{}", cluster.host(&owner).operators);
    let listed = Run::cli(&["programs", "--url", &owner_url, "--key", OPERATOR_KEY]);
    listed.expect(0, "tuul");
    let url = format!("http://{}", cluster.hosts[0].operators);
    let options = ["--url", url.as_str(), "--key", OPERATOR_KEY];
    let with = |words: &[&str]| Run::cli(&[words, &options[..]].concat());
    with(&["hosts"]).expect(0, "ub-2");
    with(&["shards"]).expect(0, "ub-1");
    with(&["upstreams"]).expect(0, "engine-ub-a-1");
    with(&["cells", "--json"]).expect(0, "cells");
    with(&["config", "get"]).expect(0, "number 2");

    let patch = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("command_line_patch.json");
    std::fs::write(&patch, "{\"limits\":{\"turns\":99}}").expect("a file");
    let patch = patch.to_string_lossy().into_owned();
    with(&["config", "patch", "--number", "2", &patch]).expect(0, "accepted as number 3");
    with(&["config", "patch", "--number", "2", &patch]).expect(1, "has a newer number");
    with(&["config", "history"]).expect(0, "\"turns\":99");
    Run::cli(&["hosts", "--url", &url, "--key", "wrong"]).expect(1, "the key is not known");

    let settings = cluster.folder.join("ub-1.ini").to_string_lossy().into_owned();
    Run::daemon(&["--check", "-c", &settings]).expect(0, "ok");

    let metrics = cluster.caller.send_json(
        cluster.hosts[0].operators,
        hyper::Method::GET,
        "/metrics",
        &serde_json::Value::Null,
    );
    let metrics = metrics.await.expect("an answer").text;

    for name in [
        "ragwortknot_requests_total",
        "ragwortknot_platform_calls_total",
        "ragwortknot_peer_bytes_total",
        "ragwortknot_config_number",
        "ragwortknot_shards_owned",
    ] {
        assert!(metrics.contains(&format!("# HELP {name} ")), "{name} is missing in {metrics}");
    }

    with(&["drain"]).expect(0, "draining");
    assert!(cluster.host_mut("ub-1").wait().success());

    // The journals of both hosts verify, and the log holds neither content nor key.
    let logs: Vec<String> =
        cluster.hosts.iter().map(|it| it.log_file.to_string_lossy().into_owned()).collect();
    let mut words = vec!["audit"];
    words.extend(logs.iter().map(String::as_str));
    Run::cli(&words).expect(0, " 0 findings");
    let why = format!("{program},{program}");
    words.extend(["--why", &why]);
    Run::cli(&words).expect(0, "was given engine-ub-a");

    let decided = logs.iter().flat_map(|log| {
        let text = std::fs::read_to_string(log).expect("a log");
        let lines: Vec<serde_json::Value> =
            text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        lines.into_iter().filter(|line| line["message"] == "decision")
    });
    let decided: Vec<serde_json::Value> = decided.collect();
    assert!(!decided.is_empty());

    for line in decided {
        for field in ["host", "region", "level", "cell", "program", "choice", "reason"] {
            assert!(line[field].is_string(), "{field} is missing in {line}");
        }
    }

    for log in &logs {
        let text = std::fs::read_to_string(log).expect("a log");
        assert!(!text.contains("hello") && !text.contains(support::test_cluster::TEAM_KEY));
    }
}
