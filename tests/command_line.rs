//! End-to-end tests of the command line and of the daemon's `--check`, with exit codes and output.

mod support;

use std::{path::PathBuf, process::Command};

use support::test_cluster::{OPERATOR_KEY, TestCluster};

/// One run of a binary.
struct BinaryRun {
    command: Command,
}

impl BinaryRun {
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

    /// Checks the exit code, and that standard output or standard error contains `text`. Returns both, concatenated.
    fn expect(mut self, exit_code: i32, text: &str) -> String {
        let output = self.command.output().expect("failed to start the binary");
        let printed = [output.stdout, output.stderr].concat();
        let printed = String::from_utf8_lossy(&printed).into_owned();
        assert_eq!(output.status.code(), Some(exit_code), "exit code; output: {printed}");
        assert!(printed.contains(text), "{printed:?} does not contain {text:?}");
        printed
    }
}

#[test]
fn usage_each_case() {
    BinaryRun::cli(&[]).expect(2, "Usage: ragwortknot SUBCOMMAND");
    BinaryRun::cli(&["--help"]).expect(0, "audit");
    BinaryRun::cli(&["nothing"]).expect(2, "there is no subcommand nothing");
    BinaryRun::cli(&["bench"]).expect(2, "expected policy, overhead or slopes");
    BinaryRun::cli(&["config", "patch"]).expect(2, "--url");
    BinaryRun::cli(&["audit"]).expect(2, "expected log files");
    BinaryRun::cli(&["audit", "README.md"]).expect(1, "no decision in README.md");
    BinaryRun::cli(&["trace", "r1"]).expect(2, "expected an id and log files");
    BinaryRun::cli(&["trace", "r1", "README.md"]).expect(1, "no line of README.md contains r1");
    BinaryRun::cli(&["bench", "policy", "--seed", "x"]).expect(2, "--seed must be a whole number");
    BinaryRun::cli(&["check", "no/such.ini"]).expect(2, "no/such.ini: can't be read");
    BinaryRun::daemon(&[]).expect(2, "Required option 'config' missing");
    BinaryRun::daemon(&["--check", "-c", "no/such.ini"]).expect(2, "no/such.ini: can't be read");
}

#[test]
fn trace_merges_logs_in_order_of_time() {
    let write_log = |name: &str, text: &str| {
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&file, text).expect("failed to write a log file");
        file.to_string_lossy().into_owned()
    };
    let first_log = write_log(
        "trace-a.log",
        concat!(
            "{\"at_ms\":30,\"host\":\"a\",\"level\":\"INFO\",\"message\":\"answered\",\"request\":\"r7\",\"status\":200}\n",
            "{\"at_ms\":31,\"host\":\"a\",\"level\":\"INFO\",\"message\":\"answered\",\"request\":\"r8\"}\n",
            "r7 in a line without JSON\n",
        ),
    );
    let second_log = write_log(
        "trace-b.log",
        "   0.4 b {\"at_ms\":20,\"host\":\"b\",\"level\":\"WARN\",\"message\":\"refused\",\"request\":\"r7\"}\n",
    );

    let printed = BinaryRun::cli(&["trace", "r7", &first_log, &second_log]).expect(0, "status=200");
    let lines: Vec<&str> = printed.lines().collect();
    assert_eq!(
        lines,
        ["20 b WARN refused | request=r7", "30 a INFO answered | request=r7 status=200"]
    );
}

#[test]
fn local_demo_prints_history_and_decisions() {
    let printed = BinaryRun::cli(&["local", "--demo"]).expect(0, "\nHistory:\n");
    assert!(printed.contains("\nDecisions:\n"), "no list of decisions in {printed}");
    assert!(printed.contains("\"warm_prefix\""), "no grant for a cached prefix in {printed}");
    assert!(printed.contains("call 3, sent again"), "no repeated call in {printed}");
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_subcommands_on_cluster() {
    let hosts = [("ub-1", "ub-a"), ("ub-2", "ub-a")];
    let mut cluster = TestCluster::start("command_line", &hosts).await;
    let program = cluster.caller.create_program(cluster.hosts[0].callers, 50_000).await;
    let body = support::api_caller::turn_body("hello");
    cluster.caller.send_turn(cluster.hosts[0].callers, &program, 1, &body).await;

    let owner = cluster.owner(&program).await;
    let owner_url = format!("http://{}", cluster.host(&owner).operators);
    let programs_run = BinaryRun::cli(&["programs", "--url", &owner_url, "--key", OPERATOR_KEY]);
    programs_run.expect(0, "tuul");
    let url = format!("http://{}", cluster.hosts[0].operators);
    let options = ["--url", url.as_str(), "--key", OPERATOR_KEY];
    let run = |arguments: &[&str]| BinaryRun::cli(&[arguments, &options[..]].concat());
    run(&["hosts"]).expect(0, "ub-2");
    run(&["shards"]).expect(0, "ub-1");
    run(&["upstreams"]).expect(0, "engine-ub-a-1");
    run(&["cells", "--json"]).expect(0, "cells");
    run(&["config", "get"]).expect(0, "number 2");

    let patch_file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("command_line_patch.json");
    std::fs::write(&patch_file, "{\"limits\":{\"turns\":99}}").expect("failed to write the patch");
    let patch_file = patch_file.to_string_lossy().into_owned();
    run(&["config", "patch", "--number", "2", &patch_file]).expect(0, "accepted as number 3");
    run(&["config", "patch", "--number", "2", &patch_file]).expect(1, "has a newer number");
    run(&["config", "history"]).expect(0, "\"turns\":99");
    BinaryRun::cli(&["hosts", "--url", &url, "--key", "wrong"]).expect(1, "the key is not known");

    let settings = cluster.folder.join("ub-1.ini").to_string_lossy().into_owned();
    BinaryRun::daemon(&["--check", "-c", &settings]).expect(0, "ok");

    let metrics = cluster.caller.send_json(
        cluster.hosts[0].operators,
        hyper::Method::GET,
        "/metrics",
        &serde_json::Value::Null,
    );
    let metrics = metrics.await.expect("no response to GET /metrics").text;

    for name in [
        "ragwortknot_requests_total",
        "ragwortknot_platform_calls_total",
        "ragwortknot_peer_bytes_total",
        "ragwortknot_config_number",
        "ragwortknot_shards_owned",
    ] {
        assert!(metrics.contains(&format!("# HELP {name} ")), "no metric {name} in {metrics}");
    }

    run(&["drain"]).expect(0, "draining");
    assert!(cluster.host_mut("ub-1").wait().success());

    // The audit of both hosts' journals has no findings, and no log contains a caller's content or key.
    let log_files: Vec<String> =
        cluster.hosts.iter().map(|it| it.log_file.to_string_lossy().into_owned()).collect();
    let mut audit_arguments = vec!["audit"];
    audit_arguments.extend(log_files.iter().map(String::as_str));
    BinaryRun::cli(&audit_arguments).expect(0, " 0 findings");
    let programs = format!("{program},{program}");
    audit_arguments.extend(["--why", &programs]);
    BinaryRun::cli(&audit_arguments).expect(0, "was granted engine-ub-a");

    let decision_lines = log_files.iter().flat_map(|log_file| {
        let text = std::fs::read_to_string(log_file).expect("failed to read a log file");
        let lines: Vec<serde_json::Value> =
            text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        lines.into_iter().filter(|line| line["message"] == "decision")
    });
    let decision_lines: Vec<serde_json::Value> = decision_lines.collect();
    assert!(!decision_lines.is_empty());

    for line in decision_lines {
        for field in ["host", "region", "level", "cell", "program", "choice", "reason"] {
            assert!(line[field].is_string(), "no text field {field} in {line}");
        }
    }

    for log_file in &log_files {
        let text = std::fs::read_to_string(log_file).expect("failed to read a log file");
        assert!(!text.contains("hello") && !text.contains(support::test_cluster::TEAM_KEY));
    }
}
