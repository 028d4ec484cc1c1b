//! Keys and teams: who may use a route, what upstreams get, and what belongs to which team.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::{Duration, Instant, sleep};

use super::{
    entry_fakes::{MemoryStore, ScriptedChannel, ScriptedResponse, StoreFault},
    entry_node::turn,
    entry_runner::{pool, runner},
    retained_records::{history_routes, run_request, start_host},
};
use crate::{
    entry::{
        AccessInputs, AccessRefusal, ClientKey, ConfigCurrency, EntryHost, EntryRefusal,
        EntryRequest, KeyDigest, ObjectStore, RequestKind, RouteTable, StoreMonitor, Team,
        TeamDirectory, TeamError, TeamQuota, TeamTerms, request_signature::RequestSignature,
    },
    gateway::ForwardedRequest,
};

/// Time in which a host finds out that the store is away: a probe after half a second, and its time limit.
const NOTICE_TIME: Duration = Duration::from_millis(1_200);

fn digest(key: &str) -> KeyDigest {
    KeyDigest::from_key(key).expect("a key that a team can have")
}

pub(super) fn terms(name: &str, keys: &[&str]) -> TeamTerms {
    let team = Team { name: name.into(), priority: None, quota: None };
    TeamTerms { team, keys: keys.iter().map(|it| digest(it)).collect() }
}

#[test]
fn decide_follows_its_table() {
    let team = Arc::new(terms("red", &[]).team);
    let key = ClientKey::Digest(digest("k"));
    let decide = |has_teams, is_public, key, team: Option<&Arc<Team>>, is_current| {
        let decision = AccessInputs { has_teams, is_public, key, team, is_current }.decide();
        decision.map(|it| it.map(|it| it.name.to_string()))
    };
    let red = Ok(Some("red".to_owned()));

    for is_current in [false, true] {
        assert_eq!(decide(false, false, ClientKey::Missing, None, is_current), Ok(None));
        assert_eq!(decide(true, false, key, Some(&team), is_current), red);
        assert_eq!(decide(true, true, key, Some(&team), is_current), red);
        assert_eq!(decide(true, true, key, None, is_current), Ok(None));
        let unstated = decide(true, false, ClientKey::Unstated, None, is_current);
        assert_eq!(unstated, Err(AccessRefusal::Unstated));
    }
    for key in [key, ClientKey::Missing] {
        assert_eq!(decide(true, false, key, None, true), Err(AccessRefusal::Unauthorized));
        assert_eq!(decide(true, false, key, None, false), Err(AccessRefusal::Unverified));
    }
}

/// Guards against keys in logs, and against texts that match a key by accident.
#[test]
fn key_digest_of_odd_texts() {
    for text in ["", "schlüssel", "a\tb", &"x".repeat(10_000)] {
        assert_eq!(KeyDigest::from_key(text), None, "{text}");
    }

    let digest = digest("secret");
    assert_eq!(KeyDigest::from_hex(digest.to_hex().as_bytes()), Some(digest));
    assert_eq!(KeyDigest::from_hex(b"+1".repeat(32).as_slice()), None);
    assert_eq!(KeyDigest::from_hex(b"00"), None);
    assert!(!format!("{digest:?}").contains(&digest.to_hex()[..4]));
}

#[test]
fn team_directory_refuses_contradictions() {
    let error = |terms: Vec<TeamTerms>| TeamDirectory::new(terms).expect_err("a bad value");

    for name in ["", " ", " red", "red\nblue", "\u{7f}"] {
        assert_eq!(error(vec![terms(name, &[])]), TeamError::Name { index: 0 }, "{name:?}");
    }
    for rate_per_s in [-1.0, f64::NAN, f64::INFINITY] {
        let mut limited = terms("red", &[]);
        limited.team.quota = Some(TeamQuota { rate_per_s, burst: 1 });
        assert_eq!(error(vec![limited]), TeamError::Rate { index: 0 });
    }

    let shared = error(vec![terms("red", &["a"]), terms("blue", &["b", "a"])]).to_string();
    assert_eq!(shared, "`tenants[1].api_keys` of team `blue` has a key of team `red`");
    let repeated = error(vec![terms("red", &[]), terms("red", &[])]);
    assert_eq!(repeated, TeamError::RepeatedName { index: 1, name: "red".into() });

    let valid = TeamDirectory::new(vec![terms("red", &["a", "a"]), terms("blue", &[])]);
    assert_eq!(valid.expect("valid teams").team_count(), 2);
}

/// Guards against a frame of another shape, and against a digest or a key that goes on to an upstream.
#[test]
fn forwarded_request_carries_the_digest_as_a_header() {
    let now = Instant::now();
    let forward = |request: &EntryRequest| {
        ForwardedRequest::encode(request, now).decode(now).expect("a valid request")
    };

    for key in [ClientKey::Missing, ClientKey::Unstated, ClientKey::Digest(digest("a"))] {
        let mut request = EntryRequest { key, ..turn("p") };
        request.headers.insert("x-custom", "kept".parse().expect("a header value"));
        // A build that knows no teams forwards these as its client has sent them.
        request.headers.insert("api-key", "secret".parse().expect("a header value"));
        request.headers.insert("x-tenant", "forged".parse().expect("a header value"));
        let forwarded = forward(&request);
        assert_eq!(forwarded.key, key);
        assert_eq!(forwarded.headers.keys().collect::<Vec<_>>(), ["x-custom"]);
    }

    // What a client has put in the place of the digest does not count.
    let mut forged = turn("p");
    let value = digest("a").to_hex().parse().expect("a header value");
    forged.headers.insert("ragwortknot-key-digest", value);
    assert_eq!(forward(&forged).key, ClientKey::Missing);
}

/// A route that keeps history, for these teams with their keys. The team `red` is the most urgent.
fn team_routes(version: u64, teams: &[(&str, &[&str])]) -> RouteTable {
    routes(version, teams, false)
}

fn routes(version: u64, teams: &[(&str, &[&str])], is_public: bool) -> RouteTable {
    let mut all_terms: Vec<TeamTerms> =
        teams.iter().map(|(name, keys)| terms(name, keys)).collect();
    all_terms.iter_mut().for_each(|it| it.team.priority = (&*it.team.name == "red").then_some(0));
    let mut table = history_routes(is_public, 23);
    table.version = version;
    table.with_teams(TeamDirectory::new(all_terms).expect("valid teams"))
}

pub(super) struct TeamHost {
    pub(super) host: Arc<EntryHost>,
    channel: Arc<ScriptedChannel>,
    store: Arc<MemoryStore>,
}

impl TeamHost {
    pub(super) async fn start(responses: Vec<ScriptedResponse>) -> Self {
        let store = Arc::new(MemoryStore::default());
        let channel = Arc::new(ScriptedChannel::new(responses));
        let table = team_routes(1, &[("red", &["r"]), ("blue", &["b"])]);
        let host = start_host(&store, &channel, table, 1).await;
        Self { host, channel, store }
    }

    /// Runs a turn with a key, or with what a gateway of an older build states of it. Returns the refusal if there is one.
    pub(super) async fn run(
        &self,
        key: ClientKey,
        id: &str,
        previous: Option<&str>,
    ) -> Option<EntryRefusal> {
        run_request(&self.host, request(key, id, previous)).await
    }

    /// Runs a turn of a program whose budget suffices for many turns.
    pub(super) async fn run_program(
        &self,
        key: ClientKey,
        program: &str,
        id: &str,
    ) -> Option<EntryRefusal> {
        let mut request = request(key, id, None);
        let context = request.program.as_mut().expect("a program");
        (context.id, context.token_budget) = (program.into(), Some(4_000));
        run_request(&self.host, request).await
    }

    /// Teams that upstreams got, in the order of the attempts.
    fn teams(&self) -> Vec<Option<Arc<str>>> {
        self.channel.requests().into_iter().map(|(_, request)| request.team).collect()
    }
}

pub(super) fn key(text: &str) -> ClientKey {
    ClientKey::Digest(digest(text))
}

fn request(key: ClientKey, id: &str, previous: Option<&str>) -> EntryRequest {
    let mut request = EntryRequest {
        key,
        id: id.into(),
        body: Bytes::from(id.to_owned()),
        deadline: Some(Instant::now() + Duration::from_secs(3)),
        ..turn("program")
    };
    let program = request.program.as_mut().expect("a program");
    program.previous_turn = previous.map(Arc::from);
    request
}

pub(super) fn stream() -> ScriptedResponse {
    ScriptedResponse::Stream { chunks: vec!["data: out\n\n"], is_complete: true }
}

#[tokio::test(start_paused = true)]
async fn keys_decide_who_runs_and_upstreams_get_the_team() {
    let host = TeamHost::start(vec![stream(); 4]).await;
    let is_not_run = |it: &Option<EntryRefusal>| matches!(it, Some(EntryRefusal::NotRun { .. }));

    assert_eq!(host.run(key("r"), "1", None).await, None);
    for unknown in [ClientKey::Missing, key("other")] {
        assert_eq!(host.run(unknown, "2", None).await, Some(EntryRefusal::Unauthorized));
    }
    let refusal = host.run(ClientKey::Unstated, "3", None).await;
    assert!(is_not_run(&refusal), "an older build can't decode the refusal: {refusal:?}");

    host.store.set_fault(StoreFault::Refusing);
    sleep(NOTICE_TIME).await;
    let refusal = host.run(key("other"), "4", None).await;
    assert!(is_not_run(&refusal), "a newer version may know the key: {refusal:?}");
    host.store.set_fault(StoreFault::None);
    sleep(NOTICE_TIME).await;
    assert_eq!(host.run(key("other"), "5", None).await, Some(EntryRefusal::Unauthorized));
    assert_eq!(host.run(key("b"), "6", None).await, None);
    assert_eq!(host.teams(), [Some("red".into()), Some("blue".into())]);
}

/// Guards against a refusal of everything by a configuration without teams, and against a team on a public route that is lost.
#[tokio::test(start_paused = true)]
async fn public_route_takes_any_key_and_states_known_teams() {
    let host = TeamHost::start(vec![stream(); 5]).await;
    host.host.apply_routes(routes(2, &[("red", &["r"])], true));

    for (number, key) in
        [key("r"), key("b"), ClientKey::Missing, ClientKey::Unstated].into_iter().enumerate()
    {
        assert_eq!(host.run(key, &number.to_string(), None).await, None);
    }

    host.host.apply_routes(team_routes(3, &[]));
    assert_eq!(host.run(key("r"), "without-teams", None).await, None);
    assert_eq!(host.teams(), [Some("red".into()), None, None, None, None]);
}

/// Guards against a team that continues the turns of another one, or spends its budget.
#[tokio::test(start_paused = true)]
async fn turns_and_budgets_belong_to_their_team() {
    let host = TeamHost::start(vec![stream(); 4]).await;
    assert_eq!(host.run(key("r"), "first", None).await, None);
    let foreign = host.run(key("b"), "second", Some("first")).await;
    let absent = host.run(key("b"), "second", Some("none")).await;
    assert_eq!(
        (foreign, absent),
        (Some(EntryRefusal::UnknownTurn), Some(EntryRefusal::UnknownTurn))
    );

    assert_eq!(host.run(key("r"), "second", Some("first")).await, None);
    // Another team may use the same ids for a program of its own.
    assert_eq!(host.run(key("b"), "first", None).await, None);
    assert_eq!(host.run(key("b"), "second", Some("first")).await, None);
    let requests = host.channel.requests();
    let ids: Vec<&str> = requests.iter().map(|(_, it)| &*it.id).collect();
    assert_eq!(ids, ["first", "second", "first", "second"], "upstreams get the client's ids");
    assert_eq!(requests[3].1.body, "firstdata: out\nsecond".replace("data: ", ""));
}

/// Guards against a queued request that runs after its key was removed.
#[tokio::test(start_paused = true)]
async fn removed_key_ends_queued_requests() {
    let pause = Duration::from_millis(400);
    let slow =
        ScriptedResponse::PausingStream { events: "data: out\n\n", pause, rest: "data: end\n\n" };
    let host = TeamHost::start(vec![slow, stream()]).await;
    let spawn = |key, id: &'static str| {
        let host = Arc::clone(&host.host);
        tokio::spawn(async move { run_request(&host, request(key, id, None)).await })
    };

    let running = spawn(key("b"), "running");
    sleep(Duration::from_millis(50)).await;
    let queued = spawn(key("r"), "queued");
    sleep(Duration::from_millis(50)).await;
    host.host.apply_routes(team_routes(2, &[("red", &[]), ("blue", &["b"])]));

    assert_eq!(queued.await.expect("no panic"), Some(EntryRefusal::Unauthorized));
    assert_eq!(running.await.expect("no panic"), None);
    assert_eq!(host.run(key("r"), "late", None).await, Some(EntryRefusal::Unauthorized));
    assert_eq!(host.teams(), [Some("blue".into())], "nothing of the removed key was sent");
}

#[test]
fn refusals_for_an_older_build_are_known_to_it() {
    let retry_after = Duration::from_millis(70);
    let quota = EntryRefusal::QuotaExceeded { retry_after }.for_older_build();
    assert_eq!(quota, EntryRefusal::NotRun { retry_after });
    let unauthorized = EntryRefusal::Unauthorized.for_older_build();
    assert!(matches!(unauthorized, EntryRefusal::NotRun { .. }), "{unauthorized:?}");
    assert_eq!(EntryRefusal::NoRoute.for_older_build(), EntryRefusal::NoRoute);
}

/// Guards against a team whose requests are refused because another team's have crashed upstreams.
#[test]
fn signature_differs_between_teams() {
    let (red, blue) = (Arc::new(terms("red", &[]).team), Arc::new(terms("blue", &[]).team));
    let request = request(ClientKey::Missing, "1", None);
    let signatures =
        [None, Some(&red), Some(&blue)].map(|team| RequestSignature::new(&request, team));
    for (one, other) in [(0, 1), (1, 2), (0, 2)] {
        assert_ne!(signatures[one].content, signatures[other].content);
        assert_ne!(signatures[one].target, signatures[other].target);
    }
}

#[tokio::test]
async fn priority_of_the_team_replaces_that_of_the_route() {
    let channel = Arc::new(ScriptedChannel::default());
    let kind = RequestKind::Stream { can_resume: true };
    let mut routed = runner(&pool(), &channel, kind).routed;
    assert_eq!(routed.placement_request(&[]).priority, 0);

    for (priority, expected) in [(None, 0), (Some(4), 4)] {
        let team = Team { priority, ..terms("red", &[]).team };
        routed.team = Some(Arc::new(team));
        let placement = routed.placement_request(&[]);
        assert_eq!((placement.priority, placement.team.as_deref()), (expected, Some("red")));
    }
}

/// Guards against variants in another order, which an older build would take for other refusals.
#[test]
fn refusals_of_older_builds_keep_their_numbers() {
    let number = |refusal: EntryRefusal| postcard::to_stdvec(&refusal).expect("a frame")[0];
    let out_of_reach =
        EntryRefusal::OutOfReach { may_have_run: false, retry_after: Duration::ZERO };
    assert_eq!(number(EntryRefusal::Malformed), 0);
    assert_eq!(number(out_of_reach), 8);
    assert_eq!(number(EntryRefusal::Unauthorized), 9);
    assert_eq!(number(EntryRefusal::QuotaExceeded { retry_after: Duration::ZERO }), 10);
}

/// Guards against 401 for a key that was added while the store was away: its version is seen with the listing, which comes after
/// the first answered probe.
#[tokio::test(start_paused = true)]
async fn configuration_is_current_once_it_is_listed_again() {
    let store = Arc::new(MemoryStore::default());
    let monitor = StoreMonitor::new(Arc::clone(&store) as Arc<dyn ObjectStore>);
    let currency = ConfigCurrency::new(monitor.clone());
    assert!(!currency.is_current(), "the store has not answered yet");
    tokio::spawn(monitor.run());
    sleep(NOTICE_TIME).await;
    assert!(currency.is_current());

    currency.record_listing();
    store.set_fault(StoreFault::Refusing);
    sleep(NOTICE_TIME).await;
    assert!(!currency.is_current());
    store.set_fault(StoreFault::None);
    sleep(NOTICE_TIME).await;
    assert!(!currency.is_current(), "a newer version may not have been seen yet");
    currency.record_listing();
    assert!(currency.is_current());
    currency.record_loss();
    assert!(!currency.is_current());
}
