//! Discrete-event simulation of one run of the benchmark, in virtual time. Programs, requests, engines and regions are
//! identified by their indices.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    BenchPolicy, BenchScenario, ScenarioResult,
    bench_report::ResultCollector,
    bench_scenario::{ARRIVAL_PERIOD_US, ENGINE_COUNT, EngineFaults, REGION_COUNT},
    fake_engine::{CACHE_TOKENS, EngineRequest, FakeEngine, PREFILL_TOKEN_US, SLOT_COUNT},
    program_plan::{ProgramPlan, draw_programs},
};
use crate::{
    CellDecision, CellEvent, CellQueue, CellReport, CellRequest, CellResult, ProgramId, ShardId,
    TicketNumber, TokenUsage,
};

/// Time between two load reports of the engines. A load is up to this old when it is used.
const REPORT_INTERVAL_US: u64 = 1_000_000;

/// Time between two ticks of a dispatcher, on which it expires requests and decides again.
const TICK_INTERVAL_US: u64 = 200_000;

/// Time between two engine faults.
const FAULT_INTERVAL_US: u64 = 60_000_000;

/// Time from an engine's fault until it accepts requests again.
const FAULT_DURATION_US: u64 = 30_000_000;

/// Answer limit that each request states (`max_tokens`). Its planned answer is shorter, and unknown to the policies.
const MAX_ANSWER_TOKENS: u64 = 1_024;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    /// A program sends its next turn.
    TurnReady { program: usize },
    /// An engine's step ends, unless it has crashed since.
    StepEnd { engine: usize, incarnation: u32 },
    /// A refused request, or one that found no engine, is sent again.
    Retry { request: usize },
    /// All engines report their load.
    LoadReport,
    /// All dispatchers expire requests and decide again.
    Tick,
    /// An engine fails; `count` is the number of earlier faults.
    EngineFault { count: usize },
    /// An engine accepts requests again.
    EngineRecovery { engine: usize },
}

/// Progress of a program or sub-agent.
#[derive(Debug)]
struct SimProgram {
    plan: ProgramPlan,
    parent: Option<usize>,
    /// Number of sub-agents that have not ended yet.
    open_children: usize,
    /// Index of the running turn, or of the next one.
    turn: usize,
    /// Tokens of the history.
    context_tokens: u64,
    /// Tokens that the program has added to its history so far.
    attained_tokens: u64,
    started_us: u64,
    /// Engine that [`BenchPolicy::StickyFifo`] has chosen for the program.
    sticky_engine: Option<usize>,
}

/// Request of one turn.
#[derive(Clone, Copy, Debug)]
struct SimRequest {
    program: usize,
    queued_us: u64,
    /// Region of the dispatcher to which it was submitted, and its ticket there.
    ticket: Option<(usize, TicketNumber)>,
}

/// State of one run.
#[derive(Debug)]
pub(super) struct Simulation {
    now_us: u64,
    /// Number of events scheduled so far. Events of the same time run in the order in which they were scheduled.
    event_count: u64,
    /// Scheduled events with their times and numbers, the earliest first.
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    policy: BenchPolicy,
    engine_faults: EngineFaults,
    programs: Vec<SimProgram>,
    requests: Vec<SimRequest>,
    engines: Vec<FakeEngine>,
    /// Last reported load of each engine, in requests. [`BenchPolicy::LeastLoadedFifo`] adds the requests sent since.
    reported_loads: Vec<usize>,
    /// Queue of each region; empty for the baselines.
    cells: Vec<CellQueue>,
    /// Requests by region and ticket.
    requests_by_ticket: BTreeMap<(usize, TicketNumber), usize>,
    next_ticket: TicketNumber,
    /// Number of programs that have not ended yet, without sub-agents.
    open_programs: usize,
    random: StdRng,
    results: ResultCollector,
}

fn engine_region(engine: usize) -> usize {
    engine % REGION_COUNT
}

fn engine_name(engine: usize) -> String {
    format!("engine-{engine:02}")
}

impl Simulation {
    /// Prepares a run of the scenario under the policy.
    pub(super) fn new(scenario: &BenchScenario, policy: BenchPolicy) -> Self {
        let plans = draw_programs(scenario);

        let mut simulation = Self {
            now_us: 0,
            event_count: 0,
            events: BinaryHeap::new(),
            policy,
            engine_faults: scenario.engine_faults,
            programs: Vec::new(),
            requests: Vec::new(),
            engines: (0..ENGINE_COUNT).map(|_| FakeEngine::new()).collect(),
            reported_loads: vec![0; ENGINE_COUNT],
            cells: Vec::new(),
            requests_by_ticket: BTreeMap::new(),
            next_ticket: 0,
            open_programs: plans.len(),
            random: StdRng::seed_from_u64(scenario.seed),
            results: ResultCollector::new(scenario.name, policy.name()),
        };

        if let BenchPolicy::Cell { policy, .. } = policy {
            simulation.cells = (0..REGION_COUNT).map(|_| CellQueue::new(policy)).collect();
            (0..ENGINE_COUNT).for_each(|engine| simulation.join_engine(engine));
            simulation.schedule(TICK_INTERVAL_US, SimEvent::Tick);
        }

        for plan in plans {
            let arrival_us = plan.arrival_us;
            let program = simulation.add_program(plan, None);
            simulation.schedule(arrival_us, SimEvent::TurnReady { program });
        }

        simulation.schedule(REPORT_INTERVAL_US, SimEvent::LoadReport);

        if simulation.engine_faults == EngineFaults::CrashesAndLeaves {
            simulation.schedule(FAULT_INTERVAL_US, SimEvent::EngineFault { count: 0 });
        }

        simulation
    }

    /// Runs until all programs have ended.
    pub(super) fn run(mut self) -> ScenarioResult {
        while self.open_programs > 0 {
            let Some(Reverse((at_us, _, event))) = self.events.pop() else {
                break;
            };

            self.now_us = at_us;
            self.handle(event);
        }

        let prefilled_tokens = self.engines.iter().map(|engine| engine.prefilled_tokens).sum();
        let wasted_tokens = self.engines.iter().map(|engine| engine.wasted_tokens).sum();
        self.results.finish(prefilled_tokens, wasted_tokens)
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    /// Schedules an event for the given time.
    fn schedule(&mut self, at_us: u64, event: SimEvent) {
        self.event_count += 1;
        self.events.push(Reverse((at_us, self.event_count, event)));
    }

    /// Adds a program and returns its index.
    fn add_program(&mut self, plan: ProgramPlan, parent: Option<usize>) -> usize {
        self.programs.push(SimProgram {
            started_us: plan.arrival_us,
            plan,
            parent,
            open_children: 0,
            turn: 0,
            context_tokens: 0,
            attained_tokens: 0,
            sticky_engine: None,
        });

        self.programs.len() - 1
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::TurnReady { program } => self.start_turn(program),
            SimEvent::StepEnd { engine, incarnation } => self.end_step(engine, incarnation),
            SimEvent::Retry { request } => self.dispatch(request),
            SimEvent::LoadReport => self.report_loads(),
            SimEvent::Tick => self.tick(),
            SimEvent::EngineFault { count } => self.inject_fault(count),
            SimEvent::EngineRecovery { engine } => self.recover_engine(engine),
        }
    }

    fn start_turn(&mut self, program: usize) {
        let queued_us = self.now_us;
        self.requests.push(SimRequest { program, queued_us, ticket: None });
        self.dispatch(self.requests.len() - 1);
    }

    fn engine_request(&self, request: usize) -> EngineRequest {
        let program = self.requests[request].program;
        let state = &self.programs[program];
        let turn = &state.plan.turns[state.turn];
        let prompt_tokens = state.context_tokens + turn.new_tokens;
        EngineRequest::new(request, program, prompt_tokens, turn.new_tokens, turn.answer_tokens)
    }

    /// Sends a request to the engine that a baseline chooses, or submits it to its region's cell.
    fn dispatch(&mut self, request: usize) {
        let region = self.programs[self.requests[request].program].plan.region;

        if matches!(self.policy, BenchPolicy::Cell { .. }) {
            self.submit(request, region);
            return;
        }

        let candidates: Vec<usize> = (0..ENGINE_COUNT)
            .filter(|engine| engine_region(*engine) == region && self.engines[*engine].is_serving)
            .collect();

        if candidates.is_empty() {
            self.schedule(self.now_us + REPORT_INTERVAL_US, SimEvent::Retry { request });
            return;
        }

        let engine = self.choose_engine(request, &candidates);
        self.send(request, engine);
    }

    /// Chooses an engine as the baseline policy does.
    fn choose_engine(&mut self, request: usize, candidates: &[usize]) -> usize {
        let random_engine = candidates[self.random.random_range(0..candidates.len())];

        match self.policy {
            BenchPolicy::LeastLoadedFifo => {
                let loads = candidates.iter().map(|engine| (self.reported_loads[*engine], *engine));
                let least_loaded = loads.min().map_or(random_engine, |(_, engine)| engine);
                // Counts the request now, since it shows in the engine's load only from the next report on.
                self.reported_loads[least_loaded] += 1;
                least_loaded
            }
            BenchPolicy::StickyFifo => {
                let program = &mut self.programs[self.requests[request].program];
                let sticky_engine =
                    program.sticky_engine.filter(|engine| candidates.contains(engine));
                *program.sticky_engine.insert(sticky_engine.unwrap_or(random_engine))
            }
            BenchPolicy::RandomFifo | BenchPolicy::Cell { .. } => random_engine,
        }
    }

    fn send(&mut self, request: usize, engine: usize) {
        let engine_request = self.engine_request(request);
        self.engines[engine].push(engine_request);

        if !self.engines[engine].is_stepping {
            self.begin_step(engine);
        }
    }

    fn begin_step(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;

        if let Some(duration_us) = self.engines[engine].begin_step() {
            self.schedule(self.now_us + duration_us, SimEvent::StepEnd { engine, incarnation });
        }
    }

    /// Ends an engine's step and begins the next.
    fn end_step(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }

        let finished = self.engines[engine].end_step(self.now_us);

        for request in finished {
            self.finish_turn(engine, &request);
        }

        self.begin_step(engine);
    }

    /// Records a finished turn, and starts its sub-agents or goes on with the program.
    fn finish_turn(&mut self, engine: usize, finished: &EngineRequest) {
        let program = finished.program;
        let queued_us = self.requests[finished.index].queued_us;
        self.results.record_turn(self.now_us - queued_us);
        let state = &mut self.programs[program];
        state.context_tokens = finished.prompt_tokens + finished.answer_tokens;
        state.attained_tokens += finished.new_tokens + finished.answer_tokens;
        let turn = state.turn;
        let pause_us = state.plan.turns[turn].pause_us;
        let children = std::mem::take(&mut state.plan.turns[turn].children);
        state.turn += 1;
        state.open_children = children.len();
        self.report_completed(engine, finished);

        if children.is_empty() {
            self.continue_program(program, pause_us);
            return;
        }

        for plan in children {
            let child = self.add_program(plan, Some(program));
            self.programs[child].started_us = self.now_us;
            self.schedule(self.now_us, SimEvent::TurnReady { program: child });
        }
    }

    /// Schedules the program's next turn after a pause, or ends the program if it has none.
    fn continue_program(&mut self, program: usize, pause_us: u64) {
        let state = &self.programs[program];

        if state.turn < state.plan.turns.len() {
            self.schedule(self.now_us + pause_us, SimEvent::TurnReady { program });
            return;
        }

        self.end_program(program);
    }

    /// Ends a program, or a sub-agent. With the last sub-agent its parent continues.
    fn end_program(&mut self, program: usize) {
        self.engines.iter_mut().for_each(|engine| engine.drop_prefix(program));
        self.notify_cells(&CellEvent::ProgramEnded { program: program_id(program) });
        let state = &self.programs[program];

        let Some(parent) = state.parent else {
            self.results.record_program(state.plan.team, self.now_us - state.started_us);
            self.open_programs -= 1;
            return;
        };

        self.programs[parent].open_children -= 1;

        if self.programs[parent].open_children == 0 {
            self.continue_program(parent, 0);
        }
    }

    fn report_loads(&mut self) {
        for engine in 0..ENGINE_COUNT {
            let load = self.engines[engine].running() + self.engines[engine].waiting();
            self.reported_loads[engine] = load;
        }

        for engine in 0..ENGINE_COUNT {
            let event = CellEvent::LoadReported {
                upstream: engine_name(engine).as_str().into(),
                running: self.engines[engine].running() as u32,
                waiting: self.engines[engine].waiting() as u32,
                limit: None,
            };
            self.notify_cell(engine_region(engine), &event);
        }

        self.schedule(self.now_us + REPORT_INTERVAL_US, SimEvent::LoadReport);
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();

        for region in 0..REGION_COUNT {
            self.cells[region].expire(now_ms);
            self.decide(region);
        }

        self.record_service_gaps();
        self.schedule(self.now_us + TICK_INTERVAL_US, SimEvent::Tick);
    }

    /// Records the difference in service between the waiting teams of each cell.
    fn record_service_gaps(&mut self) {
        for region in 0..REGION_COUNT {
            let statuses = self.cells[region].team_statuses();
            self.results.record_service_gap(&statuses);
        }
    }

    /// Crashes an engine or takes it out of service, and schedules its recovery and the next fault. Faults end with the
    /// arrival period.
    fn inject_fault(&mut self, count: usize) {
        if self.now_us > ARRIVAL_PERIOD_US {
            return;
        }

        let engine = count % ENGINE_COUNT;
        let is_crash = count.is_multiple_of(2);

        if is_crash {
            let lost_requests = self.engines[engine].crash();
            let crashed = CellEvent::Crashed { upstream: engine_name(engine).as_str().into() };
            self.notify_cell(engine_region(engine), &crashed);

            for request in lost_requests {
                self.report_result(request.index, CellResult::Broken);
                self.dispatch(request.index);
            }
        } else {
            self.engines[engine].is_serving = false;
            let upstream = engine_name(engine).as_str().into();
            self.notify_cell(
                engine_region(engine),
                &CellEvent::Serving { upstream, is_serving: false },
            );
        }

        self.schedule(self.now_us + FAULT_DURATION_US, SimEvent::EngineRecovery { engine });
        self.schedule(self.now_us + FAULT_INTERVAL_US, SimEvent::EngineFault { count: count + 1 });
    }

    fn recover_engine(&mut self, engine: usize) {
        self.engines[engine].is_serving = true;
        let upstream = engine_name(engine).as_str().into();
        self.notify_cell(engine_region(engine), &CellEvent::Serving { upstream, is_serving: true });
    }

    /// Announces an engine to the cell of its region.
    fn join_engine(&mut self, engine: usize) {
        let joined = CellEvent::Joined {
            upstream: engine_name(engine).as_str().into(),
            window: SLOT_COUNT as u32,
            cache_tokens: CACHE_TOKENS,
            prefill_us: PREFILL_TOKEN_US,
        };

        self.notify_cell(engine_region(engine), &joined);
    }

    /// Passes an event to the cells of all regions.
    fn notify_cells(&mut self, event: &CellEvent) {
        (0..self.cells.len()).for_each(|region| self.notify_cell(region, event));
    }

    /// Passes an event to the cell of a region and carries out its decisions. Does nothing for the baselines.
    fn notify_cell(&mut self, region: usize, event: &CellEvent) {
        let now_ms = self.now_ms();

        if let Some(cell) = self.cells.get_mut(region) {
            cell.handle(now_ms, event);
            self.decide(region);
        }
    }

    /// Submits a request to the cell of a region.
    fn submit(&mut self, request: usize, region: usize) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.requests[request].ticket = Some((region, ticket));
        self.requests_by_ticket.insert((region, ticket), request);
        let program = self.requests[request].program;
        let state = &self.programs[program];
        let turn = &state.plan.turns[state.turn];

        let cell_request = CellRequest {
            team: state.plan.team.into(),
            weight: 1,
            program: program_id(program),
            number: state.turn as u32 + 1,
            attained_tokens: state.attained_tokens,
            prompt_tokens: state.context_tokens + turn.new_tokens,
            answer_tokens: MAX_ANSWER_TOKENS,
            queued_ms: self.requests[request].queued_us / 1_000,
            deadline_ms: None,
            fingerprint: request as u64,
            excluded: Vec::new(),
        };

        self.results.record_request(cell_request.prompt_tokens + turn.answer_tokens);
        self.notify_cell(region, &CellEvent::Arrived { ticket, request: cell_request });
    }

    /// Carries out all decisions that the cell of a region can make now.
    fn decide(&mut self, region: usize) {
        let now_ms = self.now_ms();

        while let Some(decision) = self.cells[region].decide(now_ms) {
            let Some(request) = self.requests_by_ticket.get(&(region, decision.ticket())).copied()
            else {
                continue;
            };

            match decision {
                CellDecision::Grant { upstream, .. } => {
                    let engine = (0..ENGINE_COUNT)
                        .find(|engine| engine_name(*engine) == upstream.as_str())
                        .expect("the cell grants only engines that joined it");
                    self.send(request, engine);
                }
                CellDecision::Refuse { retry_after_ms, .. } => {
                    self.results.record_refusal();
                    let at_us = self.now_us + retry_after_ms * 1_000;
                    self.schedule(at_us, SimEvent::Retry { request });
                }
            }
        }
    }

    /// Reports a finished request to the cell that granted it. Does nothing for the baselines.
    fn report_completed(&mut self, engine: usize, finished: &EngineRequest) {
        let Some((region, ticket)) = self.requests[finished.index].ticket else {
            return;
        };

        debug_assert_eq!(region, engine_region(engine));

        let usage = TokenUsage {
            prompt: finished.prompt_tokens,
            cached: finished.cached_tokens,
            completion: finished.answer_tokens,
        };

        let decode_us = finished.decode_us(self.now_us);
        let report = CellReport { result: CellResult::Completed, usage, decode_us };
        self.notify_cell(region, &CellEvent::Finished { ticket, report });
    }

    /// Reports a request that ended without usage to its cell. Does nothing for the baselines.
    fn report_result(&mut self, request: usize, result: CellResult) {
        if let Some((region, ticket)) = self.requests[request].ticket.take() {
            let report = CellReport::without_usage(result);
            self.notify_cell(region, &CellEvent::Finished { ticket, report });
        }
    }
}

fn program_id(program: usize) -> ProgramId {
    ProgramId { shard: ShardId(0), serial: program as u64 }
}
