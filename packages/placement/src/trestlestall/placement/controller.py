"""The leader's decisions on placement: inputs in, actions out.

Every voter has a controller and feeds it; only that of the leader decides. State that
must survive a change of leader is in the agreed log (``orders``); state here may be
lost.

Example:

    >>> controller = Controller(settings.Settings(), seed=1)
    >>> controller.handle(actions.LeadershipGained(term=1), now=0.0)
    []
"""

from trestlestall.placement import (
    actions,
    cluster_view,
    deliveries,
    events,
    inputs,
    load_schedule,
    model,
    orders,
    planner,
    rolling,
    rollout,
    settings as placement_settings,
    tasks,
)


class Controller:
    """Plans, assigns tasks, and follows each order to its end.

    ``seed`` is for the random spread of loads. ``changed_at`` holds, by model, when a
    rollout last changed an engine.
    """

    def __init__(self, settings: placement_settings.Settings, seed: int):
        self.settings = settings
        self.term: int | None = None
        self.state = orders.EMPTY
        self.desired = model.Desired()
        self.demand: model.Demand = {}
        self.cluster_view = cluster_view.ClusterView()
        self.schedule = load_schedule.Schedule(seed, settings.loading)
        self.deliveries = deliveries.Deliveries(settings.sending)
        self.tasks = tasks.Tasks(settings, self.schedule)
        self.changed_at: dict[str, float] = {}
        self._proposed_at: dict[actions.Action, float] = {}
        self._planned_at = float("-inf")

    def begin_term(self, term: int, now: float) -> None:
        """Begin to decide; what former leaders have sent is not known here."""
        self.term = term
        self.deliveries.begin_term(term, now)
        self.tasks.begin_term()
        self.cluster_view.reset()
        self.changed_at = dict.fromkeys(self.state.rollouts, now)
        self._proposed_at.clear()
        self._planned_at = now

    def handle(self, event: actions.Input, now: float) -> list[actions.Action]:
        """Handle one input at the time ``now`` and return the actions to carry out."""
        found = inputs.HANDLERS[type(event)](self, event, now)
        return [action for action in found if self._is_new(action, now)]

    def _is_new(self, action: actions.Action, now: float) -> bool:
        """Return whether to issue an action: not again while it may be in flight."""
        if not isinstance(action, actions.Propose | actions.Drain | actions.Admit):
            return True
        asked_at = self._proposed_at.get(action)
        if asked_at is not None and now - asked_at < self.settings.sending.retry:
            return False
        self._proposed_at[action] = now
        return True

    # Actions that the state calls for.

    def advance(self, now: float) -> list[actions.Action]:
        """Return all actions that are due."""
        self._forget_ended(now)
        found = []
        for open_order in self.state.open.values():
            found += self.deliveries.advance(
                open_order, self.make_delivery_context(open_order), now
            )
        for task in self.state.tasks.values():
            if task.engine not in self.state.open:
                found += self._advance_task(task, now)
        found += self._start_orders(now)
        for made in self.state.rollouts.values():
            if made.active:
                found += self._advance_rollout(made, now)
        return found + self._query_engines(now) + self._plan(now)

    def _forget_ended(self, now: float) -> None:
        self.deliveries.retain(
            {open_order.fence for open_order in self.state.open.values()}
        )
        self.tasks.retain(set(self.state.tasks))
        oldest = now - self.settings.sending.retry
        self._proposed_at = {
            a: at for a, at in self._proposed_at.items() if at >= oldest
        }

    def _advance_task(self, task: orders.Task, now: float) -> list[actions.Action]:
        return self.tasks.advance(task, self.term, self._make_task_context(task), now)

    def _start_orders(self, now: float) -> list[actions.Action]:
        """Log the next order of each ready task; loads only as the schedule allows."""
        ready = [
            task
            for task in self.state.tasks.values()
            if task.engine not in self.state.open
            and task.next_order is not None
            and self.tasks.is_ready(task, self._make_task_context(task), now)
        ]
        loads = {
            load_schedule.Load(task.urgency, task.engine, task.next_order.weights): task
            for task in ready
            if task.next_order.kind == model.LOAD
        }
        open_orders = self.state.open.values()
        running = sum(one.order.kind == model.LOAD for one in open_orders)
        chosen = [loads[key] for key in self.schedule.choose(loads, running, now)]
        others = [task for task in ready if task.next_order.kind != model.LOAD]
        return [self._intend(task) for task in [*others, *chosen]]

    def _intend(self, task: orders.Task) -> actions.Propose:
        intent = events.Intend(
            self.term, task.engine, task.incarnation, task.done, task.next_order
        )
        return actions.Propose(intent)

    def _query_engines(self, now: float) -> list[actions.Action]:
        """Query engines about open orders, requests in flight, and versions."""
        wanted = {
            open_order.engine
            for open_order in self.state.open.values()
            if self.deliveries.needs_query(open_order, now)
        }
        wanted |= {
            task.engine
            for task in self.state.tasks.values()
            if self.tasks.needs_query(task, now)
        }
        rolled = {m.model for m in self.state.rollouts.values() if m.active}
        wanted |= {
            engine.name
            for engine in self.cluster_view.engines.values()
            if rolled.intersection(engine.models)
        }
        query_interval = self.settings.sending.ask
        known = sorted(wanted & self.cluster_view.engines.keys())
        return [
            actions.QueryEngine(name)
            for name in known
            if self.cluster_view.begin_query(name, query_interval, now)
        ]

    def _plan(self, now: float) -> list[actions.Action]:
        """Make a plan at each interval, and assign the tasks in it."""
        if now - self._planned_at < self.settings.planning.every:
            return []
        self._planned_at = now
        view = self.cluster_view
        failing = {
            (engine, wanted.model)
            for engine in view.engines
            for wanted in self.desired.wanted.values()
            if self.schedule.count_failures(engine, wanted.weights)
        }
        unannounced = view.list_unannounced(self.settings.sending.forget, now)
        observed = planner.Observed(
            tuple(view.engines[name] for name in sorted(view.engines)),
            {**unannounced, **self.state.tasks},
            view.since,
            view.settled,
            frozenset(failing),
        )
        rules = self.settings.planning
        made = planner.plan(self.desired, observed, self.demand, now, rules)
        found: list[actions.Action] = []
        for change in made.changes:
            found += [actions.Decided(change), actions.Propose(self._assign(change))]
        for lack in made.missing:
            found.append(
                actions.Withheld(
                    "",
                    lack.model,
                    f"no engine with free capacity in {lack.data_centre}",
                )
            )
        return found

    def _assign(self, change: planner.Change) -> events.Assign:
        return events.Assign(
            self.term,
            change.engine,
            change.incarnation,
            change.steps,
            change.drain,
            change.reason,
            int(change.urgency),
        )

    # Rollouts.

    def _advance_rollout(
        self, made: orders.Rollout, now: float
    ) -> list[actions.Action]:
        step = rollout.decide(
            made, self._make_rollout_view(made), now, self.settings.rolling
        )
        return rolling.STEPS[type(step)](self, made, step, now)

    def _make_rollout_view(self, made: orders.Rollout) -> rollout.View:
        holders = tuple(
            engine
            for _, engine in sorted(self.cluster_view.engines.items())
            if made.model in engine.models
        )
        weights = model.name_weights(made.model, made.version)
        failures = [
            self.schedule.count_failures(name, weights)
            for name in self.cluster_view.engines
        ]
        return rollout.View(
            engines=holders,
            tasks=self.state.tasks,
            homes={engine.name: self._count_homes(engine) for engine in holders},
            measured=self.cluster_view.list_measured(made.model),
            changed_at=self.changed_at.get(made.model),
            failures=max(failures, default=0),
        )

    def _count_homes(self, engine: model.Engine) -> int:
        """Return how many other homes the engine's bound models have at least.

        A home of a model is an engine in the data centre that serves it.
        """
        bound = [name for name in engine.models if self._is_bound(name)]
        counts = [self._count_others(engine.name, name) for name in bound]
        return min(counts, default=1)

    def _count_others(self, engine: str, name: str) -> int:
        drained, assigned = self.desired.drained, self.state.tasks
        return self.cluster_view.count_homes(engine, name, drained, assigned)

    # Views.

    def make_delivery_context(self, open_order: orders.Open) -> deliveries.Context:
        """Return what the next step of an open order's delivery depends on."""
        engine = self.cluster_view.engines.get(open_order.engine)
        gates = self.cluster_view.find_gates(engine)
        allowed = self.desired.allows(open_order.order)
        safe = allowed and self._is_safe(open_order.engine, open_order.order)
        return deliveries.Context(engine, gates, safe)

    def _make_task_context(self, task: orders.Task) -> tasks.Context:
        drained = task.engine in self.desired.drained
        order = task.next_order
        safe = order is None or self._is_safe(task.engine, order)
        wanted = order is None or (
            self.desired.allows(order) and not self._is_given_up(order)
        )
        return tasks.Context(
            self.cluster_view.engines.get(task.engine), drained, safe, wanted
        )

    def _is_safe(self, engine: str, order: model.Order) -> bool:
        """Return whether a bound model has another home in case of an unload."""
        if order.kind != model.UNLOAD or not self._is_bound(order.model):
            return True
        return self._count_others(engine, order.model) >= 1

    def _is_bound(self, name: str) -> bool:
        wanted = self.desired.wanted.get(name)
        return wanted is not None and wanted.bound

    def _is_given_up(self, order: model.Order) -> bool:
        """Return whether the order loads a version whose rollout was aborted since."""
        made = self.state.rollouts.get(order.model)
        if made is None or order.kind != model.LOAD:
            return False
        return made.phase == orders.REVERTING and order.version != made.target_version
