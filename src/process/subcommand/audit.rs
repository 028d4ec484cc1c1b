//! `ragwortknot audit`: verifies decision journals, and explains an order.

use std::{
    fs::File,
    io::{BufRead, BufReader},
};

use getopts::Options;

use crate::{CliError, JournalAudit, ProgramId, dispatch::journal_audit::AuditedRequest};

const BRIEF: &str = "Usage: ragwortknot audit FILE... [--why A,B]

Verifies the hash chain of each dispatcher and replays every decision.
With --why it tells why program A was served before program B, or not.";

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optopt("", "why", "two programs", "A,B");
    let matches = super::parse(options, BRIEF, arguments)?;

    if matches.free.is_empty() {
        return Err(CliError::Usage("audit: expected log files".into()));
    }

    let mut audit = JournalAudit::default();

    for file in &matches.free {
        let opened = File::open(file);
        let opened = opened.map_err(|error| CliError::Usage(format!("{file}: {error}")))?;

        for (index, line) in BufReader::new(opened).lines().enumerate() {
            audit.read(index + 1, &line?);
        }
    }

    if let Some(programs) = matches.opt_str("why") {
        explain(&audit, &programs)?;
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
        return Err(CliError::Failed(eyre::eyre!("the journal does not verify")));
    }

    Ok(())
}

fn explain(audit: &JournalAudit, programs: &str) -> Result<(), CliError> {
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

fn describe(request: &AuditedRequest) -> String {
    let asked = &request.request;

    let head = format!(
        "  number {} of team {} (weight {}), {} tokens attained, came at {}",
        asked.number, asked.team, asked.weight, asked.attained_tokens, request.arrived_ms,
    );

    let Some(audited) = &request.decision else {
        return format!("{head}: no decision yet");
    };

    let waited_ms = audited.at_ms.saturating_sub(request.arrived_ms);
    let standings: Vec<String> = audited
        .teams
        .iter()
        .map(|it| format!("{} {}/{}", it.team, it.service / 1_000, it.waiting))
        .collect();

    let choice = match (request.upstream(), request.refusal()) {
        (Some(upstream), _) => format!("was given {upstream}"),
        (None, Some(reason)) => format!("was refused: {reason}"),
        (None, None) => "was not decided on".into(),
    };

    format!(
        "{head}: {choice} as decision {} after {waited_ms} ms; teams by service, least first: {}",
        audited.sequence,
        standings.join(", "),
    )
}
