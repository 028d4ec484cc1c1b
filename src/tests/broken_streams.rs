//! Streams that break off after they have begun, and whose next upstream answers with something else than the rest.

use hyper::StatusCode;

use super::{
    entry_fakes::ScriptedResponse,
    entry_runner::{FULL, run_stream},
};

const BEGUN: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

fn begun() -> ScriptedResponse {
    ScriptedResponse::Stream { chunks: vec![BEGUN], is_complete: false }
}

#[tokio::test(start_paused = true)]
async fn relay_passes_no_error_of_a_successor_into_a_stream() {
    let whole =
        |status, is_signed| ScriptedResponse::Whole { status, has_not_run: false, is_signed };

    for response in [
        whole(StatusCode::INTERNAL_SERVER_ERROR, true),
        whole(StatusCode::BAD_REQUEST, false),
        whole(StatusCode::OK, false),
        whole(StatusCode::OK, true),
        ScriptedResponse::Broken,
    ] {
        let responses = vec![begun(), response.clone()];
        let (text, is_complete, _) = run_stream(true, responses).await;
        assert_eq!((text.as_str(), is_complete), (BEGUN, false), "{response:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn relay_goes_on_elsewhere_after_a_successor_that_is_full() {
    let rest = ScriptedResponse::Stream { chunks: vec!["id: 3\ndata: c\n\n"], is_complete: true };
    let (text, is_complete, _) = run_stream(true, vec![begun(), FULL, rest]).await;
    assert_eq!(text, format!("{BEGUN}id: 3\ndata: c\n\n"));
    assert!(is_complete);
}

#[tokio::test(start_paused = true)]
async fn relay_joins_no_rest_that_leaves_out_an_event() {
    let rest = ScriptedResponse::Stream { chunks: vec!["id: 4\ndata: d\n\n"], is_complete: true };
    let (text, is_complete, _) = run_stream(true, vec![begun(), rest]).await;
    assert_eq!((text.as_str(), is_complete), (BEGUN, false));
}

#[tokio::test(start_paused = true)]
async fn relay_resumes_stream_whose_ids_have_gaps_of_their_own() {
    let begun = "id: 10\ndata: a\n\nid: 20\ndata: b\n\n";
    let rest = "id: 30\ndata: c\n\n";
    let responses = vec![
        ScriptedResponse::Stream { chunks: vec![begun], is_complete: false },
        ScriptedResponse::Stream { chunks: vec![rest], is_complete: true },
    ];
    let (text, is_complete, _) = run_stream(true, responses).await;
    assert_eq!((text, is_complete), (format!("{begun}{rest}"), true));
}
