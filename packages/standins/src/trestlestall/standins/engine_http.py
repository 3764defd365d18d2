"""The engine's HTTP interface: completions, cancel, state, counts, faults.

Orders and KV transfer are in ``engine_orders``; both fill the same ``ROUTES``.
"""

import dataclasses
import time
from collections import abc

from trestlestall.standins import completions, engine_core, faults, prompts, web

ROUTES = web.Routes()
DEFAULT_PRIORITY = 0


class Panel:
    """The engine and what its HTTP side keeps: models held and answers under way."""

    def __init__(self, core: engine_core.Engine):
        self.core = core
        self.models: dict[str, str] = dict.fromkeys(core.settings.models, "")
        self.adapters: tuple[str, ...] = ()
        self.open_answers = 0
        self.on_models_changed: abc.Callable[[], None] = lambda: None

    def list_models(self) -> dict[str, list[str]]:
        """Return the models and adapters as an announcement states them."""
        return {"models": sorted(self.models), "adapters": sorted(self.adapters)}


@dataclasses.dataclass(frozen=True)
class Order:
    """What a completion asks for, read from its body and headers."""

    attempt: str
    prompt: prompts.Prompt
    priority: int
    start: int
    end: int
    natural_end: bool
    streamed: bool
    with_usage: bool


@ROUTES.add("POST", "/v1/chat/completions")
def complete_chat(panel: Panel, call: web.Call) -> web.Reply:
    """Answer a chat completion."""
    return complete(panel, call, completions.CHAT)


@ROUTES.add("POST", "/v1/completions")
def complete_plain(panel: Panel, call: web.Call) -> web.Reply:
    """Answer a plain completion."""
    return complete(panel, call, completions.PLAIN)


def complete(panel: Panel, call: web.Call, shape: completions.Shape) -> web.Reply:
    """Run a completion and answer it whole or as a stream."""
    refusal = refuse_by_fault(panel, call)
    if refusal is not None:
        return refusal
    order = read_order(call, shape)
    if isinstance(order, prompts.Malformed):
        return web.reply_error(400, "invalid_request", order.message)
    if order.prompt.model not in panel.models:
        return web.reply_error(404, "model_not_found", f"no {order.prompt.model} here")
    run = panel.core.open_run(
        order.attempt, order.prompt, order.priority, order.start, order.end
    )
    if run is None:
        return web.reply_error(503, "overloaded", "the queue is full")
    if order.streamed:
        body = stream_answer(panel, call, shape, order, run)
        return web.Reply(200, body, web.STREAM_TYPE)
    return answer_whole(panel, call, shape, order, run)


def refuse_by_fault(panel: Panel, call: web.Call) -> web.Reply | None:
    """Return what a fault answers in place of a completion, None without one."""
    if panel.core.faults.kind == "drop":
        web.cut_connection(call)
        return web.Reply(200)
    if panel.core.faults.kind == "refuse":
        panel.core.counts.refused += 1
        return web.reply_error(503, "engine_refused", "told to refuse")
    return None


def read_order(call: web.Call, shape: completions.Shape) -> Order | prompts.Malformed:
    """Return the completion's order, or what is wrong with its body."""
    body = call.read_json()
    if body is None:
        return prompts.Malformed("the body must be a JSON object")
    prompt = shape.read_prompt(body)
    if isinstance(prompt, prompts.Malformed):
        return prompt
    natural = prompts.draw_length(prompt)
    limit = body.get("max_tokens") or body.get("max_completion_tokens") or natural
    resume = body.get("resume") or {}
    start = int(resume.get("tokens", 0))
    options = body.get("stream_options") or {}
    return Order(
        attempt=call.headers.get("x-request-id", "direct"),
        prompt=prompt,
        priority=int(body.get("priority", DEFAULT_PRIORITY)),
        start=start,
        end=max(start + 1, min(natural, int(limit))),
        natural_end=natural <= int(limit),
        streamed=bool(body.get("stream")),
        with_usage=bool(options.get("include_usage")),
    )


def find_reason(order: Order, end: str) -> str:
    """Return the finish reason for how the run ended."""
    if end != "completed":
        return completions.FINISH_REASONS[end]
    return "stop" if order.natural_end else "length"


def answer_whole(
    panel: Panel,
    call: web.Call,
    shape: completions.Shape,
    order: Order,
    run: engine_core.Run,
) -> web.Reply:
    """Wait for the run's end and answer with all its tokens."""
    panel.open_answers += 1
    try:
        with web.watch_hang_up(call, lambda: panel.core.end_run(run, "cancelled")):
            end = [piece.end for piece in panel.core.read_pieces(run)][-1]
    finally:
        panel.open_answers -= 1
    if end != "completed":
        return web.reply_error(499, "cancelled", "the run was cancelled")
    if panel.core.take_crash(run.made):
        web.cut_connection(call)
    text = prompts.write_answer(order.prompt, order.start, order.end)
    usage = completions.count_usage(order.prompt, run.cached_tokens, run.made)
    reason = find_reason(order, end)
    document = completions.write_whole(
        shape, order.attempt, order.prompt, text, reason, usage
    )
    return web.reply_json(200, document)


def stream_answer(
    panel: Panel,
    call: web.Call,
    shape: completions.Shape,
    order: Order,
    run: engine_core.Run,
) -> abc.Iterator[bytes]:
    """Yield the answer's events, each as soon as its token is made."""
    panel.open_answers += 1
    try:
        with web.watch_hang_up(call, lambda: panel.core.end_run(run, "cancelled")):
            yield from write_events(panel, call, shape, order, run)
    finally:
        panel.open_answers -= 1
        panel.core.end_run(run, "cancelled")


def write_events(
    panel: Panel,
    call: web.Call,
    shape: completions.Shape,
    order: Order,
    run: engine_core.Run,
) -> abc.Iterator[bytes]:
    """Yield one event for each token, then the reason, the usage and the end."""
    for piece in panel.core.read_pieces(run):
        if panel.core.take_crash(piece.index - order.start):
            panel.core.end_run(run, "broken")
            web.cut_connection(call)
            return
        if piece.end in ("", "completed"):
            text = prompts.write_token(order.prompt, piece.index)
            yield completions.write_chunk(
                shape, order.attempt, order.prompt, text, None
            )
    reason = find_reason(order, piece.end)
    yield completions.write_chunk(shape, order.attempt, order.prompt, "", reason)
    if order.with_usage:
        usage = completions.count_usage(order.prompt, run.cached_tokens, run.made)
        yield completions.write_usage_chunk(shape, order.attempt, order.prompt, usage)
    if piece.end == "completed":
        yield completions.END_OF_STREAM


@ROUTES.add("POST", "/v1/cancel")
def cancel(panel: Panel, call: web.Call) -> web.Reply:
    """Cancel an attempt's runs."""
    body = call.read_json() or {}
    return web.reply_json(
        200, {"cancelled": panel.core.cancel(body.get("attempt", ""))}
    )


@ROUTES.add("GET", "/v1/models")
def list_models(panel: Panel, call: web.Call) -> web.Reply:
    """List the models held."""
    data = [{"id": model, "object": "model"} for model in sorted(panel.models)]
    return web.reply_json(200, {"object": "list", "data": data})


@ROUTES.add("GET", "/v1/counts")
def read_counts(panel: Panel, call: web.Call) -> web.Reply:
    """Tell the counts; ``?names=no`` leaves out attempts and prompts."""
    with_names = call.query.get("names") != "no"
    return web.reply_json(200, panel.core.counts.describe(with_names))


@ROUTES.add("GET", "/v1/cache-events")
def read_cache_events(panel: Panel, call: web.Call) -> web.Reply:
    """Tell the cache events published after ``?since=N``."""
    since = int(call.query.get("since", 0))
    found = panel.core.feed.read(since, time.time())
    return web.reply_json(200, {"events": [dataclasses.asdict(each) for each in found]})


@ROUTES.add("POST", "/v1/faults")
def set_faults(panel: Panel, call: web.Call) -> web.Reply:
    """Set the engine's faults."""
    wanted = faults.make(call.read_json())
    if wanted is None:
        return web.reply_error(400, "unknown_fault", f"known: {sorted(faults.KINDS)}")
    panel.core.set_faults(wanted)
    return web.reply_json(200, dataclasses.asdict(wanted))


@ROUTES.add("GET", "/v1/state")
def read_state(panel: Panel, call: web.Call) -> web.Reply:
    """Tell what the engine holds and how loaded it is at this moment."""
    load = dataclasses.asdict(panel.core.measure_load())
    return web.reply_json(200, {**panel.list_models(), "load": load})
