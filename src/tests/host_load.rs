//! When a host counts as overloaded, what it holds for clients that don't read, and how their streams end.

use std::sync::Arc;

use bytes::Bytes;
use tokio::{
    sync::mpsc,
    time::{Duration, Instant, sleep},
};

use crate::entry::{
    BufferBudget, DescriptorSupply, LoadLimits, LoadMonitor, StreamItem,
    entry_metrics::EntryMetrics,
    host_load::{
        HostLoad, LoadPolicy, LoadSample, SendEnd, StalledStreams, StreamHolder, StreamSender,
        stream_sender::STALL_GRACE,
    },
};

/// Memory of the smallest hosts.
const MEMORY_BYTES: u64 = 88_000_000;

const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Size of an event.
const EVENT_BYTES: usize = 1_000;

/// Most items that wait for a client.
const MAX_ITEMS: usize = 16;

fn sample(taken_at: Instant) -> LoadSample {
    LoadSample {
        taken_at,
        buffers: Some((0, 100)),
        resident: Some((50, 100)),
        descriptors: Some((100, 1_000)),
        lag: Duration::ZERO,
    }
}

/// Guards against a host that becomes ready and unready with each sample around one mark.
#[test]
fn update_keeps_a_shortage_until_it_is_over_for_a_while() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut policy = LoadPolicy::default();
    let mut is_short = |ms: u64, buffers: usize| {
        let sample = LoadSample { buffers: Some((buffers, 100)), ..sample(at(ms)) };
        policy.update(&sample).is_memory_short
    };
    assert!(!is_short(0, 90), "a burst");
    assert!(!is_short(250, 79));
    assert!(!is_short(500, 80));
    assert!(!is_short(750, 80));
    assert!(is_short(1_000, 80));
    assert!(is_short(1_250, 70), "between the marks");
    assert!(is_short(1_500, 59));
    assert!(is_short(1_750, 70), "the time begins anew");
    assert!(is_short(2_000, 59));
    assert!(is_short(2_750, 59));
    assert!(!is_short(3_000, 59));
    assert!(!is_short(3_250, 79));
}

/// Guards against a restart of all hosts that makes each of them unready, and against a host that stays unready for ever since its
/// allocator keeps the memory of a peak.
#[test]
fn update_takes_new_clients_in_ordinary_use() {
    let late = LoadSample { lag: Duration::from_secs(2), ..sample(Instant::now()) };
    assert!(lasting(late).takes_new_clients() && lasting(late).is_late);
    let kept = LoadSample { resident: Some((99, 100)), buffers: Some((20, 100)), ..late };
    assert!(lasting(kept).takes_new_clients());
    let used = LoadSample { resident: Some((96, 100)), buffers: Some((30, 100)), ..late };
    assert!(lasting(used).is_memory_short);
    let unlimited = LoadSample { buffers: None, resident: None, descriptors: None, ..late };
    assert!(lasting(unlimited).takes_new_clients());
}

/// What a host is short of that uses this much for long.
fn lasting(sample: LoadSample) -> HostLoad {
    let mut policy = LoadPolicy::default();
    policy.update(&sample);
    policy.update(&LoadSample { taken_at: sample.taken_at + Duration::from_secs(2), ..sample })
}

#[test]
fn update_refuses_connections_only_with_the_last_descriptors() {
    let used = |used| LoadSample { descriptors: Some((used, 1_000)), ..sample(Instant::now()) };
    assert_eq!(lasting(used(899)), HostLoad::default());
    let short = lasting(used(900));
    assert_eq!(short.descriptors, DescriptorSupply::Short);
    let mut policy = LoadPolicy::default();
    let burst = policy.update(&used(970));
    assert_eq!(burst.descriptors, DescriptorSupply::Exhausted, "at once");
    assert_eq!(policy.update(&used(0)).descriptors, DescriptorSupply::Short, "for a second");
    assert_eq!(lasting(used(960)).descriptors, DescriptorSupply::Short);
}

/// Guards against a burst of connections that takes the last descriptors before the next sample.
#[test]
fn open_connection_counts_each_connection_at_once() {
    let limits = LoadLimits { memory_bytes: None, max_descriptors: Some(300) };
    let metrics = Arc::new(EntryMetrics::new().expect("metrics"));
    let monitor = LoadMonitor::new(limits, Arc::default(), metrics);
    let mut guards: Vec<_> = (0..97).map(|_| monitor.open_connection()).collect();
    assert_eq!(guards.iter().filter(|(_, is_served)| *is_served).count(), 96);
    guards.truncate(90);
    assert!(monitor.open_connection().1, "there is room again");
}

/// Guards against one team, or those without a key, whose slow readers leave nothing for the others, and against counts that drift.
#[test]
fn take_bounds_each_holder_and_all() {
    bolero::check!().with_iterations(300).with_type::<Vec<(u8, u16, bool)>>().for_each(|steps| {
        let mut streams = StalledStreams::new(100_000);
        let mut taken: Vec<(StreamHolder, usize)> = Vec::new();
        for (team, bytes, is_end) in steps {
            if *is_end && let Some((holder, bytes)) = taken.pop() {
                streams.give_back(holder, bytes);
                continue;
            }
            let team = team % 4;
            let named = StreamHolder::of_name(&team.to_string());
            let holder = if team == 0 { StreamHolder::default() } else { named };
            let bytes = usize::from(*bytes);
            let held_by: usize =
                taken.iter().filter(|it| it.0 == holder).map(|(_, bytes)| bytes).sum();
            let most = if team == 0 { 50_000 } else { 25_000 };
            let fits = streams.held() + bytes <= 50_000 && held_by + bytes <= most;
            assert_eq!(streams.take(holder, bytes), fits);
            taken.extend(fits.then_some((holder, bytes)));
        }
        assert_eq!(streams.held(), taken.iter().map(|(_, bytes)| bytes).sum::<usize>());
        taken.into_iter().for_each(|(holder, bytes)| streams.give_back(holder, bytes));
        assert_eq!(streams.held(), 0);
    });
}

fn sender_to(
    buffers: &Arc<BufferBudget>,
    holder: StreamHolder,
    deadline: Duration,
) -> (StreamSender, mpsc::Receiver<StreamItem>) {
    let (sender, receiver) = mpsc::channel(MAX_ITEMS);
    let (buffers, deadline) = (Arc::clone(buffers), Instant::now() + deadline);
    (StreamSender { sender, buffers, holder, deadline, idle_timeout: IDLE_TIMEOUT }, receiver)
}

fn event() -> StreamItem {
    StreamItem::Bytes(Bytes::from(vec![b'z'; EVENT_BYTES]))
}

/// Sends until the stream ends. Returns why, and the time since nothing could be sent.
async fn send_until_end(sender: &StreamSender) -> (SendEnd, Duration) {
    loop {
        let started = Instant::now();
        if let Err(end) = sender.send(event()).await {
            return (end, started.elapsed());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn send_ends_a_stream_that_is_not_read() {
    let limited = Arc::new(BufferBudget::new(Some(MEMORY_BYTES)));
    let unlimited = Arc::new(BufferBudget::new(None));
    let holder = StreamHolder::default();
    for (buffers, deadline, expected) in [
        (&limited, 60, (SendEnd::Stalled, IDLE_TIMEOUT)),
        (&limited, 5, (SendEnd::DeadlineExceeded, Duration::from_secs(5))),
        (&unlimited, 60, (SendEnd::DeadlineExceeded, Duration::from_mins(1))),
    ] {
        let (sender, _receiver) = sender_to(buffers, holder, Duration::from_secs(deadline));
        let (end, after) = send_until_end(&sender).await;
        assert_eq!((end, after.as_secs()), (expected.0, expected.1.as_secs()), "{deadline} s");
        assert_eq!((buffers.used(), buffers.stalled_bytes()), (0, 0));
    }
}

/// Guards against a stream that is ended although its client reads, and against a count that outlasts the stall.
#[tokio::test(start_paused = true)]
async fn send_goes_on_when_the_client_reads() {
    let buffers = Arc::new(BufferBudget::new(Some(MEMORY_BYTES)));
    let holder = StreamHolder::of_name("red");
    let (sender, mut receiver) = sender_to(&buffers, holder, Duration::from_mins(10));
    let client = tokio::spawn(async move {
        for _ in 0..50 {
            sleep(IDLE_TIMEOUT / 2).await;
            assert!(receiver.recv().await.is_some());
        }
    });
    for number in 0..50 {
        let stall = sender.send(event()).await.expect("the client reads");
        assert_eq!(stall >= STALL_GRACE, number >= MAX_ITEMS, "event {number}");
    }
    assert_eq!((buffers.used(), buffers.stalled_bytes()), (0, 0));
    client.abort();
}

/// Guards against a thousand slow readers of one team that leave no room for one of another team, or for bodies.
#[tokio::test(start_paused = true)]
async fn send_of_many_slow_readers_leaves_room_for_others() {
    let buffers = Arc::new(BufferBudget::new(Some(MEMORY_BYTES)));
    let holder = StreamHolder::of_name("red");
    let mut tasks = Vec::new();
    for _ in 0..1_000 {
        let (sender, receiver) = sender_to(&buffers, holder, Duration::from_mins(1));
        tasks.push(tokio::spawn(async move {
            let _receiver = receiver;
            send_until_end(&sender).await
        }));
    }
    sleep(STALL_GRACE * 2).await;
    let held = buffers.stalled_bytes();
    assert!(held > 0 && held <= buffers.capacity() / 4, "{held}");
    assert_eq!(buffers.used(), held);
    assert!(buffers.check_request(4_000_000).is_ok());

    // One of the same team that reads is not ended, though its channel is full for a moment.
    let (sender, mut reader) = sender_to(&buffers, holder, Duration::from_mins(1));
    let client = tokio::spawn(async move { while reader.recv().await.is_some() {} });
    for _ in 0..1_000 {
        assert_eq!(sender.send(event()).await, Ok(Duration::ZERO));
    }
    drop(sender);
    client.await.expect("no panic");

    let other = StreamHolder::of_name("blue");
    let (sender, _receiver) = sender_to(&buffers, other, Duration::from_mins(10));
    let (end, after) = send_until_end(&sender).await;
    assert_eq!((end, after), (SendEnd::Stalled, IDLE_TIMEOUT));

    let mut stalled = 0;
    for task in tasks {
        match task.await.expect("no panic") {
            (SendEnd::Stalled, _) => stalled += 1,
            (end, after) => assert!(end == SendEnd::NoRoom && after <= STALL_GRACE, "{end:?}"),
        }
    }
    assert!(stalled > 10, "{stalled}");
    assert_eq!(buffers.used(), 0);
}

/// Guards against responses that find no room since large requests have taken all of it.
#[test]
fn check_request_leaves_room_for_responses() {
    let buffers = Arc::new(BufferBudget::new(Some(MEMORY_BYTES)));
    let mut request = buffers.buffer_request();
    let pushed = (0..100_000).take_while(|_| request.push(&[0; 1_000]).is_ok()).count();
    assert!(pushed < 100_000 && buffers.used() * 10 <= buffers.capacity() * 8);
    assert!(buffers.check_request(20_000).is_ok(), "small bodies are not counted");
    assert!(buffers.check_request(8_000_000).is_err());
    let mut response = buffers.buffer();
    assert!(response.push(&vec![0; 2_000_000]).is_ok());
}
