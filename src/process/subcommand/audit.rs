//! `ragwortknot audit`: verifies decision journals, and shows why programs were served in the order that they were.

use std::{
    fs::File,
    io::{BufRead, BufReader},
};

use getopts::Options;

use crate::{CliError, JournalAudit, ProgramId, dispatch::journal_audit::AuditedRequest};

const BRIEF: &str = "Usage: ragwortknot audit FILE... [--why A,B]

Verifies the hash chain of each dispatcher and replays every decision.
With --why it prints the decisions on the requests of programs A and B, with the
state of the queue at each, which shows why one was served before the other.";

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt("", "why", "ids of two programs to compare", "A,B");
    let matches = super::parse(options, BRIEF, arguments)?;

    if matches.free.is_empty() {
        return Err(CliError::Usage("audit: expected log files".into()));
    }

    let mut audit = JournalAudit::default();

    for file in &matches.free {
        let log_file = File::open(file);
        let log_file = log_file.map_err(|error| CliError::Usage(format!("{file}: {error}")))?;

        for (index, line) in BufReader::new(log_file).lines().enumerate() {
            audit.read(index + 1, &line?);
        }
    }

    if let Some(programs) = matches.opt_str("why") {
        print_comparison(&audit, &programs)?;
    }

    for finding in &audit.findings {
        println!("{finding}");
    }

    let (lines, decisions, findings) = (audit.lines, audit.decisions, audit.findings.len());
    println!("{lines} lines, {decisions} decisions, {findings} findings");

    if decisions == 0 {
        let files = matches.free.join(", ");
        return Err(CliError::Failed(eyre::eyre!(
            "no decision in {files}: are these logs of dispatchers, with the target `decision`?"
        )));
    }
    if findings > 0 {
        return Err(CliError::Failed(eyre::eyre!(
            "verification failed: the journals have {findings} findings"
        )));
    }

    Ok(())
}

/// Prints the requests of two programs, given as `A,B`, with the decisions on them.
fn print_comparison(audit: &JournalAudit, programs: &str) -> Result<(), CliError> {
    let parsed: Option<Vec<ProgramId>> =
        programs.split(',').map(|text| text.trim().parse().ok()).collect();

    let Some([first, second]) = parsed.as_deref() else {
        return Err(CliError::Usage("audit: --why expects two programs, as in A,B".into()));
    };

    for program in [first, second] {
        println!("{program}:");

        for request in audit.requests(*program) {
            println!("{}", describe(request));
        }
    }

    Ok(())
}

/// Describes a request and its decision in one line. The service of each team is printed in tokens per unit of weight,
/// with the number of its queued requests.
fn describe(audited: &AuditedRequest) -> String {
    let request = &audited.request;

    let request_text = format!(
        "  number {} of team {} (weight {}), {} tokens attained, arrived at {} ms",
        request.number, request.team, request.weight, request.attained_tokens, audited.arrived_ms,
    );

    let Some(decision) = &audited.decision else {
        return format!("{request_text}: no decision yet");
    };

    let waited_ms = decision.at_ms.saturating_sub(audited.arrived_ms);
    let team_services: Vec<String> = decision
        .teams
        .iter()
        .map(|it| format!("{} {}/{}", it.team, it.service / 1_000, it.waiting))
        .collect();

    let choice = match (audited.upstream(), audited.refusal()) {
        (Some(upstream), _) => format!("was granted {upstream}"),
        (None, Some(reason)) => format!("was refused: {reason}"),
        (None, None) => "was neither granted nor refused".into(),
    };

    format!(
        "{request_text}: {choice} by decision {} after {waited_ms} ms; teams by service, least first: {}",
        decision.sequence,
        team_services.join(", "),
    )
}
