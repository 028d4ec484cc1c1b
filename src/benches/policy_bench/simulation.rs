//! One run of the benchmark: an event queue in virtual time, from programs to engines and back.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{
    BenchPolicy, BenchScenario, ScenarioFigures,
    bench_report::FigureCollector,
    bench_scenario::{ARRIVAL_TIME_US, ENGINE_COUNT, EngineTrouble, REGION_COUNT},
    fake_engine::{CACHE_TOKENS, EngineRequest, FakeEngine, PREFILL_TOKEN_US, SLOT_COUNT},
    program_plan::{ProgramPlan, draw_programs},
};
use crate::{
    CellDecision, CellEvent, CellQueue, CellReport, CellRequest, CellResult, ProgramId, ShardId,
    TicketNumber, TokenUsage,
};

/// Time between two reports of an engine's load, which is also how old they are when they are used.
const REPORT_INTERVAL_US: u64 = 1_000_000;

/// Time between two looks of a dispatcher at what only time has changed.
const TICK_INTERVAL_US: u64 = 200_000;

/// Time between two troubles of engines, and until the engine is back.
const TROUBLE_INTERVAL_US: u64 = 60_000_000;
const TROUBLE_TIME_US: u64 = 30_000_000;

/// Tokens of an answer that requests ask for at the most.
const ANSWER_LIMIT_TOKENS: u64 = 1_024;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    TurnReady { program: usize },
    EngineStep { engine: usize, life: u32 },
    Retry { request: usize },
    Report,
    Tick,
    Trouble { count: usize },
    EngineBack { engine: usize },
}

/// A program under way.
#[derive(Debug)]
struct SimProgram {
    plan: ProgramPlan,
    parent: Option<usize>,
    open_children: usize,
    turn: usize,
    context_tokens: u64,
    attained_tokens: u64,
    started_us: u64,
    engine: Option<usize>,
}

/// A turn under way.
#[derive(Clone, Copy, Debug)]
struct SimRequest {
    program: usize,
    queued_us: u64,
    /// Ticket and region of the dispatcher that has it.
    ticket: Option<(usize, TicketNumber)>,
}

/// State of one run.
#[derive(Debug)]
pub(super) struct Simulation {
    now_us: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    policy: BenchPolicy,
    trouble: EngineTrouble,
    programs: Vec<SimProgram>,
    requests: Vec<SimRequest>,
    engines: Vec<FakeEngine>,
    /// Load of each engine as it was reported last.
    reported: Vec<usize>,
    cells: Vec<CellQueue>,
    tickets: BTreeMap<(usize, TicketNumber), usize>,
    next_ticket: TicketNumber,
    open_programs: usize,
    random: StdRng,
    figures: FigureCollector,
}

fn engine_region(engine: usize) -> usize {
    engine % REGION_COUNT
}

fn engine_name(engine: usize) -> String {
    format!("engine-{engine:02}")
}

impl Simulation {
    pub(super) fn new(scenario: &BenchScenario, policy: BenchPolicy) -> Self {
        let plans = draw_programs(scenario);

        let mut simulation = Self {
            now_us: 0,
            order: 0,
            events: BinaryHeap::new(),
            policy,
            trouble: scenario.trouble,
            programs: Vec::new(),
            requests: Vec::new(),
            engines: (0..ENGINE_COUNT).map(|_| FakeEngine::new()).collect(),
            reported: vec![0; ENGINE_COUNT],
            cells: Vec::new(),
            tickets: BTreeMap::new(),
            next_ticket: 0,
            open_programs: plans.len(),
            random: StdRng::seed_from_u64(scenario.seed),
            figures: FigureCollector::new(scenario.name, policy.name()),
        };

        if let BenchPolicy::Cell { policy, .. } = policy {
            simulation.cells = (0..REGION_COUNT).map(|_| CellQueue::new(policy)).collect();
            (0..ENGINE_COUNT).for_each(|engine| simulation.join_engine(engine));
            simulation.plan(TICK_INTERVAL_US, SimEvent::Tick);
        }

        for plan in plans {
            let arrival_us = plan.arrival_us;
            let program = simulation.add_program(plan, None);
            simulation.plan(arrival_us, SimEvent::TurnReady { program });
        }

        simulation.plan(REPORT_INTERVAL_US, SimEvent::Report);

        if simulation.trouble == EngineTrouble::CrashesAndLeaves {
            simulation.plan(TROUBLE_INTERVAL_US, SimEvent::Trouble { count: 0 });
        }

        simulation
    }

    pub(super) fn run(mut self) -> ScenarioFigures {
        while self.open_programs > 0 {
            let Some(Reverse((at_us, _, event))) = self.events.pop() else {
                break;
            };

            self.now_us = at_us;
            self.handle(event);
        }

        let prefilled = self.engines.iter().map(|engine| engine.prefilled_tokens).sum();
        let wasted = self.engines.iter().map(|engine| engine.wasted_tokens).sum();
        self.figures.finish(prefilled, wasted)
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn plan(&mut self, at_us: u64, event: SimEvent) {
        self.order += 1;
        self.events.push(Reverse((at_us, self.order, event)));
    }

    fn add_program(&mut self, plan: ProgramPlan, parent: Option<usize>) -> usize {
        self.programs.push(SimProgram {
            started_us: plan.arrival_us,
            plan,
            parent,
            open_children: 0,
            turn: 0,
            context_tokens: 0,
            attained_tokens: 0,
            engine: None,
        });

        self.programs.len() - 1
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::TurnReady { program } => self.start_turn(program),
            SimEvent::EngineStep { engine, life } => self.step(engine, life),
            SimEvent::Retry { request } => self.dispatch(request),
            SimEvent::Report => self.report(),
            SimEvent::Tick => self.tick(),
            SimEvent::Trouble { count } => self.make_trouble(count),
            SimEvent::EngineBack { engine } => self.bring_back(engine),
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
        let prompt = state.context_tokens + turn.new_tokens;
        EngineRequest::new(request, program, prompt, turn.new_tokens, turn.answer_tokens)
    }

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
            self.plan(self.now_us + REPORT_INTERVAL_US, SimEvent::Retry { request });
            return;
        }

        let engine = self.choose(request, &candidates);
        self.send(request, engine);
    }

    /// Choice of a baseline.
    fn choose(&mut self, request: usize, candidates: &[usize]) -> usize {
        let drawn = candidates[self.random.random_range(0..candidates.len())];

        match self.policy {
            BenchPolicy::LeastLoadedFifo => {
                let loads = candidates.iter().map(|engine| (self.reported[*engine], *engine));
                let least = loads.min().map_or(drawn, |(_, engine)| engine);
                // The chooser knows what it has sent since the last report.
                self.reported[least] += 1;
                least
            }
            BenchPolicy::StickyFifo => {
                let program = &mut self.programs[self.requests[request].program];
                let kept = program.engine.filter(|engine| candidates.contains(engine));
                *program.engine.insert(kept.unwrap_or(drawn))
            }
            BenchPolicy::RandomFifo | BenchPolicy::Cell { .. } => drawn,
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
        let life = self.engines[engine].life;

        if let Some(time_us) = self.engines[engine].begin_step() {
            self.plan(self.now_us + time_us, SimEvent::EngineStep { engine, life });
        }
    }

    fn step(&mut self, engine: usize, life: u32) {
        if self.engines[engine].life != life {
            return;
        }

        let finished = self.engines[engine].end_step(self.now_us);

        for request in finished {
            self.finish_turn(engine, &request);
        }

        self.begin_step(engine);
    }

    fn finish_turn(&mut self, engine: usize, done: &EngineRequest) {
        let program = done.program;
        let queued_us = self.requests[done.request].queued_us;
        self.figures.turn(self.now_us - queued_us);
        let state = &mut self.programs[program];
        state.context_tokens = done.prompt_tokens + done.answer_tokens;
        state.attained_tokens += done.new_tokens + done.answer_tokens;
        let turn = state.turn;
        let pause_us = state.plan.turns[turn].pause_us;
        let children = std::mem::take(&mut state.plan.turns[turn].children);
        state.turn += 1;
        state.open_children = children.len();
        self.report_finished(engine, done);

        if children.is_empty() {
            self.continue_program(program, pause_us);
            return;
        }

        for plan in children {
            let child = self.add_program(plan, Some(program));
            self.programs[child].started_us = self.now_us;
            self.plan(self.now_us, SimEvent::TurnReady { program: child });
        }
    }

    /// Goes on with the next turn after a pause, or ends the program.
    fn continue_program(&mut self, program: usize, pause_us: u64) {
        let state = &self.programs[program];

        if state.turn < state.plan.turns.len() {
            self.plan(self.now_us + pause_us, SimEvent::TurnReady { program });
            return;
        }

        self.end_program(program);
    }

    fn end_program(&mut self, program: usize) {
        self.engines.iter_mut().for_each(|engine| engine.release(program));
        self.tell_cells(&CellEvent::ProgramEnded { program: program_id(program) });
        let state = &self.programs[program];

        let Some(parent) = state.parent else {
            self.figures.program(state.plan.team, self.now_us - state.started_us);
            self.open_programs -= 1;
            return;
        };

        self.programs[parent].open_children -= 1;

        if self.programs[parent].open_children == 0 {
            self.continue_program(parent, 0);
        }
    }

    fn report(&mut self) {
        for engine in 0..ENGINE_COUNT {
            let load = self.engines[engine].running() + self.engines[engine].waiting();
            self.reported[engine] = load;
        }

        for engine in 0..ENGINE_COUNT {
            let event = CellEvent::LoadReported {
                upstream: engine_name(engine).as_str().into(),
                running: self.engines[engine].running() as u32,
                waiting: self.engines[engine].waiting() as u32,
            };
            self.feed(engine_region(engine), &event);
        }

        self.plan(self.now_us + REPORT_INTERVAL_US, SimEvent::Report);
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();

        for region in 0..REGION_COUNT {
            self.cells[region].expire(now_ms);
            self.decide(region);
        }

        self.note_waiting();
        self.plan(self.now_us + TICK_INTERVAL_US, SimEvent::Tick);
    }

    /// Notes by how much the service of teams differs that have waited all the time.
    fn note_waiting(&mut self) {
        for region in 0..REGION_COUNT {
            let standings = self.cells[region].team_statuses();
            self.figures.standings(&standings);
        }
    }

    fn make_trouble(&mut self, count: usize) {
        if self.now_us > ARRIVAL_TIME_US {
            return;
        }

        let engine = count % ENGINE_COUNT;
        let is_crash = count.is_multiple_of(2);

        if is_crash {
            let lost = self.engines[engine].crash();
            let crashed = CellEvent::Crashed { upstream: engine_name(engine).as_str().into() };
            self.feed(engine_region(engine), &crashed);

            for request in lost {
                self.report_result(request.request, CellResult::Broken);
                self.dispatch(request.request);
            }
        } else {
            self.engines[engine].is_serving = false;
            let upstream = engine_name(engine).as_str().into();
            self.feed(engine_region(engine), &CellEvent::Serving { upstream, is_serving: false });
        }

        self.plan(self.now_us + TROUBLE_TIME_US, SimEvent::EngineBack { engine });
        self.plan(self.now_us + TROUBLE_INTERVAL_US, SimEvent::Trouble { count: count + 1 });
    }

    fn bring_back(&mut self, engine: usize) {
        self.engines[engine].is_serving = true;
        let upstream = engine_name(engine).as_str().into();
        self.feed(engine_region(engine), &CellEvent::Serving { upstream, is_serving: true });
    }

    fn join_engine(&mut self, engine: usize) {
        let joined = CellEvent::Joined {
            upstream: engine_name(engine).as_str().into(),
            window: SLOT_COUNT as u32,
            cache_tokens: CACHE_TOKENS,
            prefill_us: PREFILL_TOKEN_US,
        };

        self.feed(engine_region(engine), &joined);
    }

    fn tell_cells(&mut self, event: &CellEvent) {
        (0..self.cells.len()).for_each(|region| self.feed(region, event));
    }

    /// Tells a dispatcher of something, if the policy has one, and carries its decisions out.
    fn feed(&mut self, region: usize, event: &CellEvent) {
        let now_ms = self.now_ms();

        if let Some(cell) = self.cells.get_mut(region) {
            cell.handle(now_ms, event);
            self.decide(region);
        }
    }

    fn submit(&mut self, request: usize, region: usize) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.requests[request].ticket = Some((region, ticket));
        self.tickets.insert((region, ticket), request);
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
            answer_tokens: ANSWER_LIMIT_TOKENS,
            queued_ms: self.requests[request].queued_us / 1_000,
            deadline_ms: None,
            fingerprint: request as u64,
            excluded: Vec::new(),
        };

        self.figures.request(cell_request.prompt_tokens + turn.answer_tokens);
        self.feed(region, &CellEvent::Arrived { ticket, request: cell_request });
    }

    fn decide(&mut self, region: usize) {
        let now_ms = self.now_ms();

        while let Some(decision) = self.cells[region].decide(now_ms) {
            let Some(request) = self.tickets.get(&(region, decision.ticket())).copied() else {
                continue;
            };

            match decision {
                CellDecision::Grant { upstream, .. } => {
                    let engine = (0..ENGINE_COUNT)
                        .find(|engine| engine_name(*engine) == upstream.as_str())
                        .expect("an engine of this name");
                    self.send(request, engine);
                }
                CellDecision::Refuse { retry_after_ms, .. } => {
                    self.figures.refused();
                    let at_us = self.now_us + retry_after_ms * 1_000;
                    self.plan(at_us, SimEvent::Retry { request });
                }
            }
        }
    }

    fn report_finished(&mut self, engine: usize, done: &EngineRequest) {
        let Some((region, ticket)) = self.requests[done.request].ticket else {
            return;
        };

        debug_assert_eq!(region, engine_region(engine));

        let usage = TokenUsage {
            prompt: done.prompt_tokens,
            cached: done.cached_tokens,
            completion: done.answer_tokens,
        };

        let decode_us = done.decode_us(self.now_us);
        let report = CellReport { result: CellResult::Completed, usage, decode_us };
        self.feed(region, &CellEvent::Finished { ticket, report });
    }

    fn report_result(&mut self, request: usize, result: CellResult) {
        if let Some((region, ticket)) = self.requests[request].ticket.take() {
            let report = CellReport::without_usage(result);
            self.feed(region, &CellEvent::Finished { ticket, report });
        }
    }
}

fn program_id(program: usize) -> ProgramId {
    ProgramId { shard: ShardId(0), serial: program as u64 }
}
