"""The engine's HTTP interface: completions, cancel, state, counts, faults.

Orders and KV transfer are in ``engine_orders``; both fill the same ``ROUTES``.
"""

import dataclasses
import time
from collections import abc

from trestlestall.standins import completions, engine_core, faults, orders, prompts, web

ROUTES = web.Routes()
DEFAULT_PRIORITY = 0


class Panel:
    """The engine and the state of its HTTP interface.

    ``models`` and ``adapters`` map offered names to versions, ``loads`` maps ordered
    names to the state of their loading. ``open_answers`` counts unfinished responses.
    """

    def __init__(self, core: engine_core.Engine):
        self.core = core
        self.models: dict[str, str] = dict.fromkeys(core.settings.models, "")
        self.adapters: dict[str, str] = {}
        self.loads: dict[str, str] = {}
        self.role = "whole"
        self.order_log = orders.OrderLog(core.settings.checks_fencing)
        self.open_answers = 0
        self.on_models_changed: abc.Callable[[], None] = lambda: None

    def list_models(self) -> dict[str, list[str]]:
        """Return the models and adapters as an announcement states them."""
        return {"models": sorted(self.models), "adapters": sorted(self.adapters)}


@dataclasses.dataclass(frozen=True)
class Completion:
    """The parameters of a completion, from its body and headers."""

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
    """Run a completion, and answer it whole or as a stream."""
    refusal = refuse_by_fault(panel, call)
    if refusal is not None:
        return refusal
    completion = read_completion(call, shape)
    if isinstance(completion, prompts.Malformed):
        return web.reply_error(400, "invalid_request", completion.message)
    if completion.prompt.model not in panel.models:
        return web.reply_error(
            404, "model_not_found", f"no {completion.prompt.model} here"
        )
    run = panel.core.open_run(
        completion.attempt,
        completion.prompt,
        completion.priority,
        completion.start,
        completion.end,
    )
    if run is None:
        return web.reply_error(503, "overloaded", "the queue is full")
    if completion.streamed:
        body = stream_answer(panel, call, shape, completion, run)
        return web.Reply(200, body, web.STREAM_TYPE)
    return answer_whole(panel, call, shape, completion, run)


def refuse_by_fault(panel: Panel, call: web.Call) -> web.Reply | None:
    """Return the response of a fault to a completion, or None without a fault."""
    if panel.core.faults.kind == "drop":
        web.cut_connection(call)
        return web.Reply(200)
    if panel.core.faults.kind == "refuse":
        panel.core.counts.refused += 1
        rest = panel.core.faults.rest
        headers = {"Retry_After": rest} if rest else {}
        return web.reply_error(503, "engine_refused", "told to refuse", **headers)
    return None


def read_completion(
    call: web.Call, shape: completions.Shape
) -> Completion | prompts.Malformed:
    """Return the parameters of a completion, or what is wrong with its body."""
    body = call.read_json()
    if body is None:
        return prompts.Malformed("the body must be a JSON object")
    prompt = shape.read_prompt(body)
    if isinstance(prompt, prompts.Malformed):
        return prompt
    try:
        return read_fields(call, body, prompt)
    except (TypeError, ValueError, AttributeError):
        return prompts.Malformed("a field has a wrong type")


def read_fields(call: web.Call, body: dict, prompt: prompts.Prompt) -> Completion:
    """Return the completion with its optional fields.

    Raises TypeError, ValueError or AttributeError for a field of a wrong type.
    """
    natural = prompts.draw_length(prompt)
    limit = body.get("max_tokens") or body.get("max_completion_tokens") or natural
    resume = body.get("resume") or {}
    start = int(resume.get("tokens", 0))
    options = body.get("stream_options") or {}
    return Completion(
        attempt=call.headers.get("x-request-id", "direct"),
        prompt=prompt,
        priority=int(body.get("priority", DEFAULT_PRIORITY)),
        start=start,
        end=max(start + 1, min(natural, int(limit))),
        natural_end=natural <= int(limit),
        streamed=bool(body.get("stream")),
        with_usage=bool(options.get("include_usage")),
    )


def find_reason(completion: Completion, end: str) -> str:
    """Return the finish reason of a run."""
    if end != "completed":
        return completions.FINISH_REASONS[end]
    return "stop" if completion.natural_end else "length"


def answer_whole(
    panel: Panel,
    call: web.Call,
    shape: completions.Shape,
    completion: Completion,
    run: engine_core.Run,
) -> web.Reply:
    """Wait for the end of the run, and answer with all its tokens."""
    panel.open_answers += 1
    try:
        with web.watch_hang_up(call, lambda: panel.core.end_run(run, "cancelled")):
            end = [piece.end for piece in panel.core.read_pieces(run)][-1]
    finally:
        panel.open_answers -= 1
    if end != "completed":
        return web.reply_error(499, "cancelled", "the run was cancelled")
    if panel.core.consume_crash(run.made):
        web.cut_connection(call)
    text = prompts.write_answer(completion.prompt, completion.start, completion.end)
    usage = completions.count_usage(completion.prompt, run.cached_tokens, run.made)
    reason = find_reason(completion, end)
    document = completions.write_whole(
        shape, completion.attempt, completion.prompt, text, reason, usage
    )
    return web.reply_json(200, document)


def stream_answer(
    panel: Panel,
    call: web.Call,
    shape: completions.Shape,
    completion: Completion,
    run: engine_core.Run,
) -> abc.Iterator[bytes]:
    """Yield the events of the answer, each as soon as its token is generated."""
    panel.open_answers += 1
    try:
        with web.watch_hang_up(call, lambda: panel.core.end_run(run, "cancelled")):
            yield from write_events(panel, call, shape, completion, run)
    finally:
        panel.open_answers -= 1
        panel.core.end_run(run, "cancelled")


def write_events(
    panel: Panel,
    call: web.Call,
    shape: completions.Shape,
    completion: Completion,
    run: engine_core.Run,
) -> abc.Iterator[bytes]:
    """Yield one event per token, then the finish reason, the usage and the end mark."""
    for piece in panel.core.read_pieces(run):
        if panel.core.consume_crash(piece.index - completion.start):
            panel.core.end_run(run, "broken")
            web.cut_connection(call)
            return
        if piece.end in ("", "completed"):
            text = prompts.write_token(completion.prompt, piece.index)
            yield completions.write_chunk(
                shape, completion.attempt, completion.prompt, text, None
            )
    reason = find_reason(completion, piece.end)
    yield completions.write_chunk(
        shape, completion.attempt, completion.prompt, "", reason
    )
    if completion.with_usage:
        usage = completions.count_usage(completion.prompt, run.cached_tokens, run.made)
        yield completions.write_usage_chunk(
            shape, completion.attempt, completion.prompt, usage
        )
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
    """List the loaded models."""
    data = [{"id": model, "object": "model"} for model in sorted(panel.models)]
    return web.reply_json(200, {"object": "list", "data": data})


@ROUTES.add("GET", "/v1/counts")
def read_counts(panel: Panel, call: web.Call) -> web.Reply:
    """Return the counts; ``?names=no`` omits attempts and prompts."""
    with_names = call.query.get("names") != "no"
    return web.reply_json(200, panel.core.counts.describe(with_names))


@ROUTES.add("GET", "/v1/cache-events")
def read_cache_events(panel: Panel, call: web.Call) -> web.Reply:
    """Return the cache events published after ``?since=N``."""
    since = int(call.query.get("since", 0))
    found = panel.core.feed.read(since, time.time())
    return web.reply_json(200, {"events": [dataclasses.asdict(each) for each in found]})


@ROUTES.add("POST", "/v1/faults")
def set_faults(panel: Panel, call: web.Call) -> web.Reply:
    """Replace the engine's faults."""
    wanted = faults.make(call.read_json())
    if wanted is None:
        return web.reply_error(400, "unknown_fault", f"known: {sorted(faults.KINDS)}")
    panel.core.set_faults(wanted)
    return web.reply_json(200, dataclasses.asdict(wanted))
